import { create } from '@bufbuild/protobuf'
import { runTableDecision, scanRows } from '@quinceshunt/table-store'
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import { decodeOrder, ORDER_PREFIX, requestOrder, type OrderKind } from '@quinceshunt/orders'
import { EngineOrderKind, OrderRecordSchema, type AdministrationService } from '@quinceshunt/schemas'
import { authorOf, type AdministrationContext } from '../administrationContext.js'
import { createAuditWrite } from '../audit.js'
import { requireConfiguration } from '../configurationStore.js'

type Handlers = Pick<ServiceImpl<typeof AdministrationService>, 'orderEngine' | 'listOrders'>

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$/

const KIND_NAMES = {
  [EngineOrderKind.LOAD_MODEL]: 'load_model',
  [EngineOrderKind.LOAD_ADAPTER]: 'load_adapter',
  [EngineOrderKind.CHANGE_ROLE]: 'change_role'
} as const satisfies Partial<Record<EngineOrderKind, OrderKind>>

export function createOrderHandlers (context: AdministrationContext): Handlers {
  const { platform, clock } = context
  return {
    orderEngine: async ({ backendServer, kind, name }, call) => {
      if (kind === EngineOrderKind.UNSPECIFIED) throw new ConnectError('the kind is missing; use load_model, load_adapter or change_role', Code.InvalidArgument)
      if (!NAME_PATTERN.test(name)) throw new ConnectError(`name "${name}" is not allowed; use 1 to 128 letters, digits, ".", "_", ":", "/" or "-"`, Code.InvalidArgument)
      const backendServers = (await requireConfiguration(context)).configuration.sheet?.backendServers ?? []
      if (!backendServers.some(({ id }) => id === backendServer)) throw new ConnectError(`there is no backend server ${backendServer} in the sheet in force`, Code.NotFound)
      const [now, author, kindName] = [clock.now(), authorOf(call), KIND_NAMES[kind]]
      const audit = createAuditWrite({ author, at: now, action: `backend order ${kindName}`, subject: backendServer, detail: name })
      const record = await runTableDecision(requestOrder({ backendServer, kind: kindName, name, operator: author.operator, now, additionalWrites: [audit] }), platform.table)
      return { order: { backendServer, kind, record } }
    },
    listOrders: async () => {
      const rows = await runTableDecision(scanRows(ORDER_PREFIX), platform.table)
      const orders = rows.flatMap((row) => decodeOrder(row) ?? [])
      return { orders: orders.map(({ backendServer, kind, record }) => ({ backendServer, kind: toProtoKind(kind), record: create(OrderRecordSchema, record) })) }
    }
  }
}

function toProtoKind (name: OrderKind): EngineOrderKind {
  switch (name) {
    case 'load_model': return EngineOrderKind.LOAD_MODEL
    case 'load_adapter': return EngineOrderKind.LOAD_ADAPTER
    case 'change_role': return EngineOrderKind.CHANGE_ROLE
  }
}
