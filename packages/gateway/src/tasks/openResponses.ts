import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Responses in progress on callers' connections, each of which may carry several pipelined requests. */
export interface OpenResponses {
  /** Adds a response until it is closed; false when an earlier one ends the connection, so that this one can't be sent. */
  add (response: ServerResponse): boolean
  /** Returns whether the connection may end with this response, and if so takes no more on it. False when other requests have arrived. */
  tryEndConnection (response: ServerResponse): boolean
  /** True while bytes of an ended response wait for its caller. */
  readonly hasUnwritten: boolean
}

interface CallerConnection {
  readonly responses: Set<ServerResponse>
  isEnding: boolean
}

/** Creates an empty set. */
export function createOpenResponses (): OpenResponses {
  const connections = new Map<Socket, CallerConnection>()

  function connectionOf (socket: Socket): CallerConnection {
    const known = connections.get(socket)
    if (known !== undefined) return known
    const connection = { responses: new Set<ServerResponse>(), isEnding: false }
    connections.set(socket, connection)
    socket.once('close', () => connections.delete(socket))
    return connection
  }

  return {
    add: (response) => {
      const connection = connectionOf(response.req.socket)
      if (connection.isEnding) return false
      connection.responses.add(response)
      response.once('close', () => connection.responses.delete(response))
      return true
    },
    tryEndConnection: (response) => {
      const connection = connections.get(response.req.socket)
      if (connection === undefined) return true
      if ([...connection.responses].at(-1) !== response) return false
      connection.isEnding = true
      return true
    },
    get hasUnwritten () {
      return [...connections.values()].some(({ responses }) => [...responses].some((response) => response.writableEnded))
    }
  }
}
