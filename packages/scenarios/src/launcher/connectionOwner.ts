import { readdirSync, readFileSync, readlinkSync } from 'node:fs'

const HEXADECIMAL_RADIX = 16
const PORT_DIGITS = 4
/** Columns of /proc/net/tcp between the remote address and the socket's inode. */
const COLUMNS_BEFORE_INODE = 6

/** Ports of a local TCP connection. */
export interface ConnectionPorts {
  readonly client: number
  readonly server: number
}

/**
 * Finds which of the given processes owns the client side of each connection; undefined when none does. Reads the
 * table of all sockets of the machine once, which takes long while it has many.
 */
export function findConnectionOwners (connections: readonly ConnectionPorts[], processIds: readonly number[]): readonly (number | undefined)[] {
  const table = readFileSync('/proc/net/tcp', 'utf8')
  const owners = new Map(processIds.flatMap((processId) => listSockets(processId).map((socket) => [socket, processId])))
  return connections.map((connection) => {
    const inode = findSocketInode(table, connection)
    return inode === undefined ? undefined : owners.get(`socket:[${inode}]`)
  })
}

function formatHexadecimalPort (port: number): string {
  return port.toString(HEXADECIMAL_RADIX).toUpperCase().padStart(PORT_DIGITS, '0')
}

function findSocketInode (table: string, { client, server }: ConnectionPorts): string | undefined {
  const rowPattern = new RegExp(`: [0-9A-F]+:${formatHexadecimalPort(client)} [0-9A-F]+:${formatHexadecimalPort(server)}(?: +\\S+){${COLUMNS_BEFORE_INODE}} +(\\d+) `)
  return rowPattern.exec(table)?.[1]
}

function listSockets (processId: number): readonly string[] {
  const folder = `/proc/${processId}/fd`
  try {
    return readdirSync(folder).map((name) => readLink(`${folder}/${name}`))
  } catch {
    // The process has exited.
    return []
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
