export const TRANSACTION_TIMEOUT_MS = 800
/** About one for each account of a large installation; the next review continues. */
export const MAX_CONSECUTIVE_TRANSACTIONS = 40
/** A few for each account; the remaining tokens are then sent to a peer. */
export const MAX_TRANSACTIONS_AT_STOP = 120
/** More than one, as time matters more than conflicts at the stop. */
export const BALANCES_PER_TRANSACTION_AT_STOP = 4
/** Consecutive requests without tokens after which an instance draws itself; holders respond about twice while a caller waits. */
export const MAX_FAILED_TRANSFER_REQUESTS = 2
/** Interval at which a draw in backoff is checked, a fraction of its shortest backoff. */
export const CONFLICT_CHECK_INTERVAL_MS = 5
/** Shorter than the normal timeout, so that the end of an outage is noticed soon. */
export const TRANSACTION_TIMEOUT_AFTER_FAILURE_MS = 450
/** Pause after a transaction that the store rejected or did not answer. */
export const FAILURE_PAUSE_MS = 150
/** Time after a renewal for which sealed tokens stay unused; most restarts take less. */
export const SEAL_DURATION_MS = 2000
export const REVIEW_INTERVAL_MS = 300
export const LEASE_RENEWAL_AGE_MS = 300
/** Maximum wait of a request for tokens while the store is reachable. */
export const MAX_TOKEN_WAIT_MS = 700
/** Maximum wait of a request for tokens while the store is unreachable: peers respond sooner. */
export const MAX_TOKEN_WAIT_WITHOUT_STORE_MS = 130
/** Retry time suggested to callers when no tokens are available; other instances have returned theirs by then. */
export const NO_TOKENS_RETRY_MS = 600
/** After a return for another instance, no tokens are drawn in advance for this time. */
export const PREFETCH_PAUSE_AFTER_RETURN_MS = 3000
/** After a draw for which the balance was too low, requests are rejected at once for this time; doubles with each consecutive one. */
export const SHORTAGE_REJECTION_MS = 400
/** Limits the doubling: a top-up or a return is noticed within this time. */
export const MAX_SHORTAGE_REJECTION_MS = 1600
/** Free tokens above which an instance that is not a holder returns them: about four long requests. */
export const MAX_NON_HOLDER_FREE_TOKENS = 40_000
/** Maximum time for which a primary holder lets a peer wait for tokens. */
export const MAX_TRANSFER_WAIT_MS = 200
/** An instance keeps tokens for this time of its own use when a peer requests some. */
export const OWN_USE_RESERVE_MS = 2000
/** Interval at which the stop checks whether the running transaction has ended. */
export const CLOSE_CHECK_INTERVAL_MS = 20
/** Time given to other instances to return tokens before the balances are read again. */
export const SHORTAGE_PAUSE_MS = 80
