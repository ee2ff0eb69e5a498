/** Row keys of budget data; the design page lists the row values. */
export const budgetKeys = {
  budget: (budgetId: string) => `budget/${budgetId}`,
  topUp: (budgetId: string, topUpId: string) => `topup/${budgetId}/${topUpId}`,
  lease: (budgetId: string, incarnation: string) => `lease/${budgetId}/${incarnation}`,
  leasesPrefix: (budgetId: string) => `lease/${budgetId}/`,
  transfer: (budgetId: string, giverIncarnation: string, number: bigint) => `transfer/${budgetId}/${giverIncarnation}/${number}`,
  giverTransfersPrefix: (budgetId: string, giverIncarnation: string) => `transfer/${budgetId}/${giverIncarnation}/`,
  transfersPrefix: (budgetId: string) => `transfer/${budgetId}/`,
  /** While this row exists, no transfers from the giver can be recorded. Number 0 is free because transfers count from 1. */
  transferFence: (budgetId: string, giverIncarnation: string) => `transfer/${budgetId}/${giverIncarnation}/0`,
  bill: (requestId: string) => `bill/${requestId}`,
  billBatch: (incarnation: string, number: bigint) => `billbatch/${incarnation}/${number}`,
  /** Written by the closing transaction, so that a lease closes only once even if its row never existed. */
  closing: (incarnation: string, budgetId: string) => `billbatch/${incarnation}/closing-${budgetId}`
} as const
