/**
 * Typed identifiers. Each is a branded string or number, so that one kind cannot be passed where another
 * is expected. The schemas validate identifiers wherever they enter a process.
 */
import { randomBytes } from 'node:crypto'
import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, ".", "_", "-"')

/** Name of an entry host, unique in a deployment. */
export const hostIdSchema = name.brand<'HostId'>()
export type HostId = z.infer<typeof hostIdSchema>

/** Name of an availability zone. */
export const zoneSchema = name.brand<'Zone'>()
export type Zone = z.infer<typeof zoneSchema>

/** Name of a region; a region holds several availability zones. */
export const regionSchema = name.brand<'Region'>()
export type Region = z.infer<typeof regionSchema>

/** Name of a team: an account with tokens and its own settings subtree. */
export const teamSchema = name.brand<'Team'>()
export type Team = z.infer<typeof teamSchema>

/** Name of an owner: a party that pays for the use of its teams. */
export const ownerSchema = name.brand<'Owner'>()
export type Owner = z.infer<typeof ownerSchema>

/**
 * Name of a client account, which callers prove with a key. It is sent in a header field, so it consists of visible ASCII
 * characters, with spaces only between them.
 */
export const accountNameSchema = z.string().max(255).regex(/^[!-~]([ -~]*[!-~])?$/, 'must be visible ASCII').brand<'AccountName'>()
export type AccountName = z.infer<typeof accountNameSchema>

/** Name of a model. */
export const modelSchema = name.brand<'Model'>()
export type Model = z.infer<typeof modelSchema>

/** Name of one upstream process: an engine or a service worker. */
export const workerIdSchema = name.brand<'WorkerId'>()
export type WorkerId = z.infer<typeof workerIdSchema>

/** Name of a group of workers that serve the same purpose. */
export const poolSchema = name.brand<'Pool'>()
export type Pool = z.infer<typeof poolSchema>

/** 64-bit random number, in hexadecimal, that identifies one start of a process. */
export const incarnationSchema = z.string().regex(/^[0-9a-f]{16}$/, 'must be 16 hexadecimal digits').brand<'Incarnation'>()
export type Incarnation = z.infer<typeof incarnationSchema>

/** Identifier of one request of a caller; all attempts of the request share it. */
export const requestIdSchema = z.string().min(1).max(64).brand<'RequestId'>()
export type RequestId = z.infer<typeof requestIdSchema>

/** Identifier of one attempt of a request on one upstream. */
export const attemptIdSchema = z.string().min(1).max(80).brand<'AttemptId'>()
export type AttemptId = z.infer<typeof attemptIdSchema>

/**
 * Identifier that the writer gives to a record. After a lost response, the writer looks for the identifier in the stream
 * to find out whether the append took effect.
 */
export const recordIdSchema = z.string().min(1).max(64).brand<'RecordId'>()
export type RecordId = z.infer<typeof recordIdSchema>

/** Position of a record in a log stream. The first record has offset 1; 0 means "no record". */
export const offsetSchema = z.number().int().nonnegative().brand<'Offset'>()
export type Offset = z.infer<typeof offsetSchema>

/** Offset of the accepted claim of a lease. It increases from each holder to the next. */
export const fencingNumberSchema = z.number().int().nonnegative().brand<'FencingNumber'>()
export type FencingNumber = z.infer<typeof fencingNumberSchema>

/** Converts a number that is known to be an offset. */
export function toOffset (value: number): Offset {
  return value as Offset
}

/** The offset that means "no record". */
export const noOffset = toOffset(0)

function randomHexadecimal (bytes: number): string {
  return randomBytes(bytes).toString('hex')
}

/** Makes the incarnation of a process that starts now. */
export function newIncarnation (): Incarnation {
  return randomHexadecimal(8) as Incarnation
}

/** Makes a request id. */
export function newRequestId (): RequestId {
  return randomHexadecimal(12) as RequestId
}

/** Makes the id of the given attempt of a request; attempts count from 1. */
export function attemptIdOf (requestId: RequestId, attempt: number): AttemptId {
  return `${requestId}.${attempt}` as AttemptId
}

/** Makes a record id. */
export function newRecordId (): RecordId {
  return randomHexadecimal(12) as RecordId
}
