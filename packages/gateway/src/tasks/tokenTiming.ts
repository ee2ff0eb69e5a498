/** Time that a transaction may take, milliseconds. */
export const TRANSACTION_TIME = 800
/** Transactions in a row, about one for each account of a large installation; the next review goes on. */
export const TRANSACTIONS_IN_A_ROW = 40
/** Transactions in a row at the stop, a few for each account; what is left then goes to a peer. */
export const TRANSACTIONS_AT_STOP = 120
/** Balances that one transaction changes at the stop, where time counts more than conflicts. */
export const BALANCES_AT_STOP = 4
/** Times in a row that leads give nothing before an instance draws itself; they answer twice while a caller waits. */
export const FRUITLESS_ASKS = 2
/** Pause before a needed draw is looked at again, milliseconds, a part of its shortest pause after conflicts. */
export const CONFLICT_CHECK = 5
/** The same after one without an answer, milliseconds, so that the end of an outage is noticed soon. */
export const TRANSACTION_TIME_AFTER_FAILURE = 450
/** Pause after a transaction that the store refused or did not answer, milliseconds. */
export const FAILURE_PAUSE = 150
/** Time for which the sealed part of a grant stays untouched after a renewal, milliseconds; most restarts take less. */
export const SEAL_TIME = 2000
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
/** Time after a draw that found too few tokens in which requests are refused at once, milliseconds; doubled for each in a row. */
export const SHORTAGE_MEMORY = 400
/** Longest such time, milliseconds: a top-up or a return is noticed within it. */
export const LONGEST_SHORTAGE_MEMORY = 1600
/** Free tokens beyond which an instance that is no holder returns them, about four long requests. */
export const LARGEST_LEFTOVER = 40_000
/** Longest time that a holder lets a peer wait for tokens, milliseconds. */
export const LONGEST_HAND_OVER = 200
/** Time of its own use that an instance keeps when a peer asks for tokens, milliseconds. */
export const KEPT_FROM_PEERS = 2000
/** Interval at which the end of a transaction is awaited at the stop, milliseconds. */
export const CLOSE_CHECK = 20
/** Pause before balances are looked at again when other instances are to return tokens, milliseconds. */
export const SHORTAGE_PAUSE = 80
