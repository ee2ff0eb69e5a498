import ModernError from 'modern-errors'

/** Where an error arose. */
export interface ErrorPlace {
  /** Step of the work, for example `settle bills`. */
  readonly step: string
  /** Process or service on the other side, for example an instance ID or address; empty for none. */
  readonly peer: string
}

/** Base of all errors of this project. */
export const QuinceshuntError = ModernError.subclass('QuinceshuntError', {
  props: { step: '', peer: '' }
})

/** A settings file that can't be used. */
export const SettingsError = QuinceshuntError.subclass('SettingsError')

/** The platform refused or did not answer a call that has had no effect. */
export const PlatformUnavailableError = QuinceshuntError.subclass('PlatformUnavailableError')

/** No answer was received to a write; whether it took effect is not known. */
export const PlatformOutcomeUnknownError = QuinceshuntError.subclass('PlatformOutcomeUnknownError')

/** Another instance could not be reached or refused a call. */
export const PeerError = QuinceshuntError.subclass('PeerError')

/** A backend server could not be reached, refused a request or broke off its answer. */
export const BackendServerError = QuinceshuntError.subclass('BackendServerError')

/** An error in the code, not in its surroundings. */
export const InternalError = QuinceshuntError.subclass('InternalError')
