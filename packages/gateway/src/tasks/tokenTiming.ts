export const TRANSACTION_TIMEOUT_MS = 800
/** About one for each account of a large installation; the next review continues. */
export const MAX_CONSECUTIVE_TRANSACTIONS = 40
/** A few for each account; the remaining tokens are then sent to a peer. */
export const MAX_TRANSACTIONS_AT_STOP = 120
/** More than one, as time matters more than conflicts at the stop. */
export const BALANCES_PER_TRANSACTION_AT_STOP = 4
/** Balances that one transaction corrects after a restore of the store: few, as all instances correct theirs at once. */
export const CORRECTIONS_PER_TRANSACTION = 4
/** Consecutive loan requests without a reply that helps, after which an instance draws itself. */
export const MAX_FAILED_LOAN_REQUESTS = 2
/** Interval at which a draw in backoff is checked, a fraction of its shortest backoff. */
export const CONFLICT_CHECK_INTERVAL_MS = 5
/** Shorter than the normal timeout, so that the end of an outage is noticed soon. */
export const TRANSACTION_TIMEOUT_AFTER_FAILURE_MS = 450
/** Pause after a transaction that the store rejected or did not answer. */
export const FAILURE_PAUSE_MS = 150
/** Time after a renewal for which sealed tokens stay unused: about as long as a killed process takes to start again. */
export const SEAL_DURATION_MS = 1000
export const REVIEW_INTERVAL_MS = 300
export const LEASE_RENEWAL_AGE_MS = 300
/** Maximum wait of a request for tokens while the store is reachable. */
export const MAX_TOKEN_WAIT_MS = 700
/** Maximum wait of a request for tokens while the store is unreachable: time to ask each home. */
export const MAX_TOKEN_WAIT_WITHOUT_STORE_MS = 300
/** Retry time suggested to callers when no tokens are available; other instances have returned theirs by then. */
export const NO_TOKENS_RETRY_MS = 600
/** After a return for another instance, no tokens are drawn in advance for this time. */
export const PREFETCH_PAUSE_AFTER_RETURN_MS = 3000
/** After a draw for which the balance was too low, requests are rejected at once for this time; doubles with each consecutive one. */
export const SHORTAGE_REJECTION_MS = 400
/** Limits the doubling: a top-up or a return is noticed within this time. */
export const MAX_SHORTAGE_REJECTION_MS = 1600
/** Time after the last use of an account at which an instance that is not its home gives back what is left of its loans. */
export const GIVE_BACK_DELAY_MS = 700
/** Free tokens above which an instance that is not a home returns what it drew itself: about four long requests. */
export const MAX_VISITOR_FREE_TOKENS = 40_000
/** Pause after a loan request that yielded nothing. */
export const REPEATED_LOAN_PAUSE_MS = 120
/** Time that a stopping instance waits for its messages to homes. */
export const GIVE_BACK_AT_STOP_MS = 300
/** Maximum time for which a home lets a peer wait for tokens. */
export const MAX_LOAN_WAIT_MS = 200
/** Interval of the log lines that show where an account's tokens are. */
export const LEDGER_LOG_INTERVAL_MS = 5000
/** Interval at which the stop checks whether the running transaction has ended. */
export const CLOSE_CHECK_INTERVAL_MS = 20
