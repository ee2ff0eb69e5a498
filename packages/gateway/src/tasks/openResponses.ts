import { lingerAfterLastResponse } from '@quinceshunt/caller-connections'
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { cutOffResponse } from './cutOffResponse.js'

/** Responses in progress on callers' connections, each of which may carry several pipelined requests. */
export interface OpenResponses {
  /** Adds a response until it is closed; false when an earlier one ends the connection, so that this one can't be sent. */
  add (response: ServerResponse): boolean
  /** Calls the listener once the response, or its connection, is closed: a response behind others is never closed itself. */
  onClosed (response: ServerResponse, listener: () => void): void
  /** Ends the connection with this response, the newest on it, and takes no more. */
  endConnection (response: ServerResponse): void
  /** Whether the connection ends with this response. */
  isLast (response: ServerResponse): boolean
  /** Returns whether the connection may end with this response, and if so takes no more on it. False when other requests have arrived. */
  tryEndConnection (response: ServerResponse): boolean
  /** Cuts off all responses that are not whole, before the process ends. */
  cutOff (): void
  /** True while bytes of an ended response wait for its caller. */
  readonly hasUnwritten: boolean
}

interface CallerConnection {
  readonly responses: Map<ServerResponse, (() => void)[]>
  lastResponse: ServerResponse | undefined
}

/** Creates an empty set. */
export function createOpenResponses (): OpenResponses {
  const connections = new Map<Socket, CallerConnection>()

  function connectionOf (socket: Socket): CallerConnection {
    const known = connections.get(socket)
    if (known !== undefined) return known
    const connection: CallerConnection = { responses: new Map<ServerResponse, (() => void)[]>(), lastResponse: undefined }
    connections.set(socket, connection)
    socket.once('close', () => {
      connections.delete(socket)
      for (const response of [...connection.responses.keys()]) remove(connection, response)
    })
    return connection
  }

  function remove (connection: CallerConnection, response: ServerResponse): void {
    const listeners = connection.responses.get(response) ?? []
    connection.responses.delete(response)
    for (const listener of listeners) listener()
  }

  return {
    add: (response) => {
      const connection = connectionOf(response.req.socket)
      if (connection.lastResponse !== undefined) return false
      connection.responses.set(response, [])
      response.once('close', () => remove(connection, response))
      return true
    },
    onClosed: (response, listener) => {
      const listeners = connections.get(response.req.socket)?.responses.get(response)
      if (listeners === undefined) listener()
      else listeners.push(listener)
    },
    endConnection: (response) => {
      connectionOf(response.req.socket).lastResponse = response
      lingerAfterLastResponse(response.req.socket)
    },
    isLast: (response) => connections.get(response.req.socket)?.lastResponse === response,
    tryEndConnection: (response) => {
      const connection = connections.get(response.req.socket)
      if (connection === undefined) return true
      if ([...connection.responses.keys()].at(-1) !== response) return false
      connection.lastResponse = response
      return true
    },
    cutOff: () => {
      for (const response of [...connections.values()].flatMap(({ responses }) => [...responses.keys()])) {
        if (response.headersSent && !response.writableFinished) cutOffResponse(response)
      }
    },
    get hasUnwritten () {
      return [...connections.values()].some(({ responses }) => [...responses.keys()].some((response) => response.writableEnded))
    }
  }
}
