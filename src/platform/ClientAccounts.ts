/**
 * The client accounts of the operators' configuration and their keys. Only hashes of the keys are kept, so that no key can
 * appear in a log line or in a comparison of configurations.
 */
import { z } from 'zod'
import { type AccountName, accountNameSchema } from '../common/index.js'
import { tokenHashOf } from '../configuration/index.js'

/** An account whose keys identify requests. */
export interface ClientAccount {
  name: AccountName
  /** Hashes of the keys, as by `tokenHashOf`. */
  keyHashes: string[]
  /** Priority of the account's requests, in place of that of their route; 0 is the most urgent. */
  rank?: number
}

/** The accounts as they stand in the configuration. Messages never contain a key, since they are logged. */
export const accountsSchema = z.array(z.object({
  name: accountNameSchema,
  // Operators take the last key of an account away while the account stays, so no keys are valid.
  'api-keys': z.array(z.string().min(1, 'the key is empty')),
  priority: z.number().optional()
})).superRefine((accounts, context) => {
  const names = new Set<AccountName>()
  const holders = new Map<string, AccountName>()
  for (const { name, 'api-keys': keys } of accounts) {
    if (names.has(name)) context.addIssue(`two accounts have the name ${name}`)
    names.add(name)
    for (const key of keys) {
      const holder = holders.get(key) ?? name
      if (holder !== name) context.addIssue(`the accounts ${holder} and ${name} have the same key`)
      holders.set(key, name)
    }
  }
})

/** The account as the request path uses it. */
export function decodeAccount ({ name, 'api-keys': keys, priority }: z.infer<typeof accountsSchema>[number]): ClientAccount {
  return {
    name,
    keyHashes: keys.map(tokenHashOf),
    ...(priority === undefined ? {} : { rank: Math.max(0, Math.round(priority)) })
  }
}

/** Finds accounts by their keys. */
export class ClientAccounts {
  private readonly byKeyHash = new Map<string, ClientAccount>()

  constructor (accounts: readonly ClientAccount[]) {
    for (const account of accounts) {
      for (const hash of account.keyHashes) this.byKeyHash.set(hash, account)
    }
  }

  /** The account that holds the key; undefined if none does. */
  find (key: Uint8Array): ClientAccount | undefined {
    return this.byKeyHash.get(tokenHashOf(key))
  }
}

/**
 * The bytes of the key in the value of an `authorization` header; undefined if it contains none. The value is decoded as
 * Latin-1, as by Node's HTTP server, whereas the configuration is UTF-8.
 */
export function keyOf (authorization: string | undefined): Uint8Array | undefined {
  const key = /^bearer[ \t]+([^ \t].*)$/i.exec(authorization ?? '')?.[1]
  return key === undefined ? undefined : Buffer.from(key, 'latin1')
}
