/**
 * Guards against a bootstrap token that keeps working after the first operator account exists, and against
 * tokens that work after their expiry or after their account changed.
 */
import { describe, expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { FixedConfiguration } from './ConfigurationReader.js'
import { TeamAuthenticator, tokenHashOf } from './TeamAuthenticator.js'

const bootstrap = 'Bearer first'
const account = (operator: boolean, expiresAt?: number): unknown => ({
  owner: 'acuarios', operator, tokens: [{ sha256: tokenHashOf('secret'), ...(expiresAt === undefined ? {} : { expiresAt }) }]
})

interface Case { authenticator: TeamAuthenticator, configuration: FixedConfiguration }

function authenticatorFor (documents: Record<string, unknown>): Case {
  const configuration = new FixedConfiguration(documents)
  return { configuration, authenticator: new TeamAuthenticator(configuration, new ManualClock(1000), tokenHashOf('first')) }
}

describe('TeamAuthenticator', () => {
  test('the bootstrap token works only until an operator account exists', () => {
    const { authenticator, configuration } = authenticatorFor({ '/teams/foro/account': account(false) })
    expect(authenticator.authenticate(bootstrap).isOk).toBe(true)
    configuration.set('/teams/operators/account', account(true))
    expect(authenticator.authenticate(bootstrap).isOk).toBe(false)
  })

  test.each([
    ['a valid token', 'Bearer secret', undefined, true],
    ['an expired token', 'Bearer secret', 1000, false],
    ['a token before its expiry', 'Bearer secret', 1001, true],
    ['an unknown token', 'Bearer other', undefined, false],
    ['no token', undefined, undefined, false],
    ['another scheme', 'Basic secret', undefined, false],
    ['an empty token', 'Bearer ', undefined, false]
  ])('%s', (_name, header, expiresAt, accepted) => {
    const { authenticator } = authenticatorFor({ '/teams/foro/account': account(true, expiresAt) })
    expect(authenticator.authenticate(header).isOk).toBe(accepted)
  })

  test('a token stops working when its account no longer has it', () => {
    const { authenticator, configuration } = authenticatorFor({ '/teams/foro/account': account(true) })
    configuration.set('/teams/foro/account', { owner: 'acuarios', operator: true, tokens: [] })
    expect(authenticator.authenticate('Bearer secret').isOk).toBe(false)
  })
})
