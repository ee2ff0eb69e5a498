/** Time that a transaction may take, milliseconds. */
export const TRANSACTION_TIME = 800
/** Transactions in a row while other instances change the same balances. */
export const CONFLICT_ATTEMPTS = 8
/** Transactions in a row that also draw in advance. */
export const ADVANCE_ATTEMPTS = 2
/** Longest pause after a second conflict, milliseconds, so that instances do not meet again. */
export const CONFLICT_PAUSE = 12
/** The same after one without an answer, milliseconds, so that the end of an outage is noticed soon. */
export const TRANSACTION_TIME_AFTER_FAILURE = 450
/** Pause after a transaction that the store refused or did not answer, milliseconds. */
export const FAILURE_PAUSE = 150
/** Time for which the sealed part of a grant stays untouched after a renewal, milliseconds; restarts take about 2 s. */
export const SEAL_TIME = 2400
/** Interval at which grants are reviewed, milliseconds. */
export const REVIEW_INTERVAL = 300
/** Age at which a lease is renewed, milliseconds. */
export const RENEWAL_AGE = 300
/** Longest time that a request waits for tokens while the store answers, milliseconds. */
export const LONGEST_WAIT = 700
/** Longest time that a request waits for tokens while the store does not answer, milliseconds: peers answer sooner. */
export const LONGEST_WAIT_WITHOUT_STORE = 130
/** Pause before a caller returns for whom there were no tokens, milliseconds: other instances have returned theirs. */
export const NO_TOKENS_RETRY = 600
/** Time after a return for another instance in which nothing is drawn in advance, milliseconds. */
export const RETURN_HOLD = 3000
/** Time after a draw that found too few tokens in which requests are refused at once, milliseconds. */
export const SHORTAGE_MEMORY = 400
/** Free tokens beyond which an instance that is no holder returns them, about four long requests. */
export const LARGEST_LEFTOVER = 40_000
/** Longest time that a holder lets a peer wait for tokens, milliseconds. */
export const LONGEST_HAND_OVER = 150
/** Time of its own use that an instance keeps when a peer asks for tokens, milliseconds. */
export const KEPT_FROM_PEERS = 2000
/** Interval at which the end of a transaction is awaited at the stop, milliseconds. */
export const CLOSE_CHECK = 20
/** Pause before balances are looked at again when other instances are to return tokens, milliseconds. */
export const SHORTAGE_PAUSE = 80
