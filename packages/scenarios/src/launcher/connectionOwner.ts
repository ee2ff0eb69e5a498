import { readdirSync, readFileSync, readlinkSync } from 'node:fs'

const HEXADECIMAL = 16
const LOCAL_ADDRESS_COLUMN = 1
const REMOTE_ADDRESS_COLUMN = 2
const INODE_COLUMN = 9

/** Finds which of the given processes owns the client side of a local TCP connection; undefined when none does. */
export function findConnectionOwner (clientPort: number, serverPort: number, processIds: readonly number[]): number | undefined {
  const inode = findSocketInode(clientPort, serverPort)
  return inode === undefined ? undefined : processIds.find((processId) => ownsSocket(processId, inode))
}

function portOf (column: string | undefined): number {
  return Number.parseInt(column?.split(':')[1] ?? '', HEXADECIMAL)
}

function findSocketInode (clientPort: number, serverPort: number): string | undefined {
  const rows = readFileSync('/proc/net/tcp', 'utf8').split('\n').map((line) => line.trim().split(/\s+/))
  return rows.find((row) => portOf(row[LOCAL_ADDRESS_COLUMN]) === clientPort && portOf(row[REMOTE_ADDRESS_COLUMN]) === serverPort)?.[INODE_COLUMN]
}

function ownsSocket (processId: number, inode: string): boolean {
  const folder = `/proc/${processId}/fd`
  try {
    return readdirSync(folder).some((name) => readLink(`${folder}/${name}`) === `socket:[${inode}]`)
  } catch {
    return false
  }
}

function readLink (path: string): string {
  try {
    return readlinkSync(path)
  } catch {
    // The descriptor was closed while the folder was read.
    return ''
  }
}
