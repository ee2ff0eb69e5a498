import { connectNodeAdapter } from '@connectrpc/connect-node'
import { create } from '@bufbuild/protobuf'
import { GetObjectsResponseSchema, PeerService, StatusResponseSchema, TransferAllowanceResponseSchema, type GossipMessage, type StatusResponse, type TlsSettings } from '@quinceshunt/schemas'
import { createServer, type Server } from 'node:http'
import { createServer as createSecureServer } from 'node:https'
import type { PromptPartGuard } from './promptParts.js'
import type { BudgetPeerHandlers, ConfigurationGossip, SuspectGossip } from './taskContracts.js'
import { listenerTls } from './tls.js'

const MAX_OBJECTS_PER_CALL = 64

/** Handlers of calls from peers. */
export interface PeerHandlers {
  readonly budget: BudgetPeerHandlers
  readonly configuration: ConfigurationGossip
  readonly suspects: SuspectGossip
  readonly promptParts: PromptPartGuard
  readonly receiveGossip: (message: GossipMessage) => GossipMessage
  readonly answerClaim: (key: string) => { readonly maybeSent: boolean, readonly lostPeers: boolean }
  readonly status: () => StatusResponse
}

/** Listener for other instances and administration processes; with TLS, both sides authenticate. */
export function createPeerServer (handlers: PeerHandlers, tls: TlsSettings | undefined): Server {
  const adapter = connectNodeAdapter({
    routes: (router) => {
      router.service(PeerService, {
        gossip: (message) => handlers.receiveGossip(message),
        transferAllowance: (request) => create(TransferAllowanceResponseSchema, { transfer: handlers.budget.transferAllowance(request) }),
        adoptLeases: (request) => {
          handlers.budget.adoptLeases(request)
          return {}
        },
        getObjects: (request) => create(GetObjectsResponseSchema, {
          contents: request.sha256.slice(0, MAX_OBJECTS_PER_CALL).map((name) => handlers.configuration.object(name) ?? new Uint8Array())
        }),
        reportSuspects: (request) => {
          if (request.suspects.length > 0) handlers.suspects.receiveSuspects(request.suspects)
          handlers.promptParts.receive(request.unanswered, request.answered)
          return {}
        },
        askClaim: (request) => handlers.answerClaim(request.claimKey),
        status: () => create(StatusResponseSchema, handlers.status())
      })
    }
  })
  const options = listenerTls(tls, true)
  return options === undefined ? createServer(adapter) : createSecureServer(options, adapter) as unknown as Server
}
