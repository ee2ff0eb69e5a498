import { parseSheet } from '../parseSheet.js'
import { hashKey } from '../keys.js'
import type { Sheet } from '@quinceshunt/schemas'

export const SALT = '00112233445566778899aabbccddeeff'

/** CSV rows of a small valid sheet; row 1 is the header. */
export function sheetRows (secret = 'secret'): string[][] {
  return [
    'record,id,client_account,budget,tokens,targets,salt_hex,hash_hex,context_tokens,completion_tokens,service,method,path_prefix,idempotent,target,address,failure_domain,slots',
    'deployment,taller,,,,,,,,,,,,,,,,',
    'client_account,school,,,,painter ledger,,,,,,,,,,,,',
    'client_account,museum,,,,painter,,,,,,,,,,,,',
    'budget,school-2026,school,,,,,,,,,,,,,,,',
    'budget,museum-2026,museum,,,,,,,,,,,,,,,',
    'top_up,july,,school-2026,500,,,,,,,,,,,,,',
    `key,k1,school,school-2026,,,${SALT},${hashKey(SALT, secret)},,,,,,,,,,`,
    'model,painter,,,,,,,4096,512,,,,,,,,',
    'service,ledger,,,,,,,,,,,,,,,,',
    'route,,,,,,,,,,ledger,POST,/deposits,false,,,,',
    'backend_server,painter-1,,,,,,,,,,,,,painter,http://127.0.0.1:9101,caldas-1,4'
  ].map((row) => row.split(','))
}

export function toCsv (rows: readonly (readonly string[])[]): string {
  return rows.map((row) => row.join(',')).join('\n')
}

export function sheetFixture (secret?: string): Sheet {
  const parsed = parseSheet('csv', toCsv(sheetRows(secret)))
  if (parsed.kind === 'invalid') throw new Error(JSON.stringify(parsed.problems))
  return parsed.sheet
}
