/**
 * Guards against loads that are taken from fields which cannot be read, or from a late copy of another response.
 */
import { expect, test } from '@jest/globals'
import type { RequestId } from '../common/index.js'
import { readWorkerNotice } from './readWorkerNotice.js'

test.each<[string, string | string[] | undefined, unknown]>([
  ['three figures', '3,1,8', { running: 3, waiting: 1, slots: 8 }],
  ['four figures', '3, 1, 8, 250', { running: 3, waiting: 1, slots: 8, slowness: 2.5 }],
  ['no field', undefined, undefined],
  ['two figures', '3,1', undefined],
  ['five figures', '3,1,8,100,7', undefined],
  ['a negative figure', '-3,1,8', undefined],
  ['a word', '3,one,8', undefined],
  ['no slots', '0,0,0', undefined],
  ['no time at all', '3,1,8,0', undefined],
  ['a figure without end', `${'9'.repeat(400)},1,8`, undefined],
  ['two fields', ['3,1,8', '4,1,8'], undefined]
])('a load with %s', (_name, value, expected) => {
  const headers = { 'dogwooddale-request-id': 'r1', 'dogwooddale-server-load': value }
  expect(readWorkerNotice({ status: 200, headers }, 'r1' as RequestId)?.load).toEqual(expected)
  expect(readWorkerNotice({ status: 200, headers }, 'r2' as RequestId)).toBeUndefined()
})
