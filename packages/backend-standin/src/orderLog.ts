/** Order from a router to an engine. */
export interface EngineOrder {
  readonly kind: 'load_model' | 'load_adapter' | 'change_role'
  readonly name: string
  readonly fencingNumber: number
}

export interface ReceivedOrder extends EngineOrder {
  /** Unix milliseconds. */
  readonly receivedAt: number
  /** False when the order was refused because of an old fencing number. */
  readonly executed: boolean
}

/** Orders that an engine has received. */
export interface OrderLog {
  /** Executes an order; refuses it when its fencing number is below the highest executed one and fencing is checked. */
  receive (order: EngineOrder, now: number): ReceivedOrder
  readonly orders: readonly ReceivedOrder[]
  /** Returns the name in the last executed order of each kind. */
  currentState (): Record<string, string>
}

/** Creates an empty log. Without `checksFencing`, every order is executed. */
export function createOrderLog (checksFencing: boolean): OrderLog {
  const orders: ReceivedOrder[] = []
  let highestFencingNumber = 0
  return {
    orders,
    currentState: () => Object.fromEntries(orders.filter((order) => order.executed).map((order) => [order.kind, order.name])),
    receive: (order, now) => {
      const executed = !checksFencing || order.fencingNumber >= highestFencingNumber
      const received = { ...order, receivedAt: now, executed }
      orders.push(received)
      if (executed) highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber)
      return received
    }
  }
}
