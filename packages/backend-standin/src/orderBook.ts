/** Order of the fleet to an engine. */
export interface EngineOrder {
  readonly kind: 'load_model' | 'load_adapter' | 'change_role'
  readonly name: string
  readonly fencingNumber: number
}

/** An order as received. */
export interface ReceivedOrder extends EngineOrder {
  /** Unix milliseconds. */
  readonly receivedAt: number
  /** False when it was refused for its old fencing number. */
  readonly executed: boolean
}

/** Orders that an engine has received. */
export interface OrderBook {
  /** Executes an order, or refuses it when its fencing number is below the highest executed one. */
  receive (order: EngineOrder, now: number): ReceivedOrder
  readonly orders: readonly ReceivedOrder[]
  /** Name that was executed last, for each kind of order. */
  current (): Record<string, string>
}

/** Creates an empty order book; an engine that does not check fencing executes every order. */
export function createOrderBook (checksFencing: boolean): OrderBook {
  const orders: ReceivedOrder[] = []
  let highestNumber = 0
  return {
    orders,
    current: () => Object.fromEntries(orders.filter((order) => order.executed).map((order) => [order.kind, order.name])),
    receive: (order, now) => {
      const executed = !checksFencing || order.fencingNumber >= highestNumber
      const received = { ...order, receivedAt: now, executed }
      orders.push(received)
      if (executed) highestNumber = Math.max(highestNumber, order.fencingNumber)
      return received
    }
  }
}
