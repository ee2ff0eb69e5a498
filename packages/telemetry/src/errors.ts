import ModernError from 'modern-errors'

/** Context of an error. */
export interface ErrorContext {
  /** Operation that failed, for example `settle bills`. */
  readonly step: string
  /** Remote process or service, for example an instance ID or address; empty for none. */
  readonly peer: string
}

/** Base class of all errors of this project. */
export const QuinceshuntError = ModernError.subclass('QuinceshuntError', {
  props: { step: '', peer: '' }
})

/** A settings file is unreadable or invalid. */
export const SettingsError = QuinceshuntError.subclass('SettingsError')

/** A call to the platform was refused or got no response, and had no effect. */
export const PlatformUnavailableError = QuinceshuntError.subclass('PlatformUnavailableError')

/** A write got no response; whether it took effect is unknown. */
export const PlatformOutcomeUnknownError = QuinceshuntError.subclass('PlatformOutcomeUnknownError')

/** Another instance could not be reached or refused a call. */
export const PeerError = QuinceshuntError.subclass('PeerError')

/** A backend server could not be reached, refused a request or ended its response early. */
export const BackendServerError = QuinceshuntError.subclass('BackendServerError')

/** A bug in this code, as opposed to a failure of its environment. */
export const InternalError = QuinceshuntError.subclass('InternalError')
