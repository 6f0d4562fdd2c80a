/**
 * Guards against a bootstrap token that stays valid after the first operator account was created, and against tokens
 * that stay valid after their expiry or after their removal from the account.
 */
import { describe, expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { FixedConfiguration } from './ConfigurationReader.js'
import { TeamAuthenticator, tokenHashOf } from './TeamAuthenticator.js'

const bootstrapAuthorization = 'Bearer first'
const accountDocument = (operator: boolean, expiresAt?: number): unknown => ({
  owner: 'acuarios', operator, tokens: [{ sha256: tokenHashOf('secret'), ...(expiresAt === undefined ? {} : { expiresAt }) }]
})

interface Fixture { authenticator: TeamAuthenticator, configuration: FixedConfiguration }

function authenticatorFor (documents: Record<string, unknown>): Fixture {
  const configuration = new FixedConfiguration(documents)
  return { configuration, authenticator: new TeamAuthenticator(configuration, new ManualClock(1000), tokenHashOf('first')) }
}

describe('TeamAuthenticator', () => {
  test('the bootstrap token is valid until an operator account exists, and invalid afterwards', () => {
    const { authenticator, configuration } = authenticatorFor({ '/teams/foro/account': accountDocument(false) })
    expect(authenticator.authenticate(bootstrapAuthorization).isOk).toBe(true)
    configuration.set('/teams/operators/account', accountDocument(true))
    expect(authenticator.authenticate(bootstrapAuthorization).isOk).toBe(false)
  })

  test.each([
    ['accepts a valid token without expiry', 'Bearer secret', undefined, true],
    ['refuses a token at its expiry', 'Bearer secret', 1000, false],
    ['accepts a token one millisecond before its expiry', 'Bearer secret', 1001, true],
    ['refuses an unknown token', 'Bearer other', undefined, false],
    ['refuses a request without an authorization header', undefined, undefined, false],
    ['refuses an authorization scheme other than Bearer', 'Basic secret', undefined, false],
    ['refuses an empty token', 'Bearer ', undefined, false]
  ])('%s', (_name, header, expiresAt, accepted) => {
    const { authenticator } = authenticatorFor({ '/teams/foro/account': accountDocument(true, expiresAt) })
    expect(authenticator.authenticate(header).isOk).toBe(accepted)
  })

  test('a token becomes invalid when it is removed from its account', () => {
    const { authenticator, configuration } = authenticatorFor({ '/teams/foro/account': accountDocument(true) })
    configuration.set('/teams/foro/account', { owner: 'acuarios', operator: true, tokens: [] })
    expect(authenticator.authenticate('Bearer secret').isOk).toBe(false)
  })
})
