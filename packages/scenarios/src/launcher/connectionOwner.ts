import { readdirSync, readFileSync, readlinkSync } from 'node:fs'

const HEXADECIMAL_RADIX = 16
const PORT_DIGITS = 4
/** Columns of /proc/net/tcp between the remote address and the socket's inode. */
const COLUMNS_BEFORE_INODE = 6

/** Finds which of the given processes owns the client side of a local TCP connection; undefined when none does. */
export function findConnectionOwner (clientPort: number, serverPort: number, processIds: readonly number[]): number | undefined {
  const inode = findSocketInode(clientPort, serverPort)
  return inode === undefined ? undefined : processIds.find((processId) => ownsSocket(processId, inode))
}

function formatHexadecimalPort (port: number): string {
  return port.toString(HEXADECIMAL_RADIX).toUpperCase().padStart(PORT_DIGITS, '0')
}

function findSocketInode (clientPort: number, serverPort: number): string | undefined {
  const rowPattern = new RegExp(`: [0-9A-F]+:${formatHexadecimalPort(clientPort)} [0-9A-F]+:${formatHexadecimalPort(serverPort)}(?: +\\S+){${COLUMNS_BEFORE_INODE}} +(\\d+) `)
  return rowPattern.exec(readFileSync('/proc/net/tcp', 'utf8'))?.[1]
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
    // The descriptor was closed while the directory was read.
    return ''
  }
}
