/** Time that a transaction may take, milliseconds. */
export const TRANSACTION_TIMEOUT_MS = 800
/** Transactions in a row, about one for each account of a large installation; the next review goes on. */
export const MAX_CONSECUTIVE_TRANSACTIONS = 40
/** Transactions in a row at the stop, a few for each account; what is left then goes to a peer. */
export const MAX_TRANSACTIONS_AT_STOP = 120
/** Balances that one transaction changes at the stop, where time counts more than conflicts. */
export const BALANCES_PER_TRANSACTION_AT_STOP = 4
/** Times in a row that leads give nothing before an instance draws itself; they answer twice while a caller waits. */
export const MAX_FAILED_TRANSFER_REQUESTS = 2
/** Pause before a needed draw is looked at again, milliseconds, a part of its shortest pause after conflicts. */
export const CONFLICT_CHECK_INTERVAL_MS = 5
/** The same after one without an answer, milliseconds, so that the end of an outage is noticed soon. */
export const TRANSACTION_TIMEOUT_AFTER_FAILURE_MS = 450
/** Pause after a transaction that the store refused or did not answer, milliseconds. */
export const FAILURE_PAUSE_MS = 150
/** Time for which the sealed part of a grant stays untouched after a renewal, milliseconds; most restarts take less. */
export const SEAL_DURATION_MS = 2000
/** Interval at which grants are reviewed, milliseconds. */
export const REVIEW_INTERVAL_MS = 300
/** Age at which a lease is renewed, milliseconds. */
export const LEASE_RENEWAL_AGE_MS = 300
/** Longest time that a request waits for tokens while the store answers, milliseconds. */
export const MAX_TOKEN_WAIT_MS = 700
/** Longest time that a request waits for tokens while the store does not answer, milliseconds: peers answer sooner. */
export const MAX_TOKEN_WAIT_WITHOUT_STORE_MS = 130
/** Pause before a caller returns for whom there were no tokens, milliseconds: other instances have returned theirs. */
export const NO_TOKENS_RETRY_MS = 600
/** Time after a return for another instance in which nothing is drawn in advance, milliseconds. */
export const PREFETCH_PAUSE_AFTER_RETURN_MS = 3000
/** Time after a draw that found too few tokens in which requests are refused at once, milliseconds; doubled for each in a row. */
export const SHORTAGE_REJECTION_MS = 400
/** Longest such time, milliseconds: a top-up or a return is noticed within it. */
export const MAX_SHORTAGE_REJECTION_MS = 1600
/** Free tokens beyond which an instance that is no holder returns them, about four long requests. */
export const MAX_NON_HOLDER_FREE_TOKENS = 40_000
/** Longest time that a holder lets a peer wait for tokens, milliseconds. */
export const MAX_TRANSFER_WAIT_MS = 200
/** Time of its own use that an instance keeps when a peer asks for tokens, milliseconds. */
export const OWN_USE_RESERVE_MS = 2000
/** Interval at which the end of a transaction is awaited at the stop, milliseconds. */
export const CLOSE_CHECK_INTERVAL_MS = 20
/** Pause before balances are looked at again when other instances are to return tokens, milliseconds. */
export const SHORTAGE_PAUSE_MS = 80
