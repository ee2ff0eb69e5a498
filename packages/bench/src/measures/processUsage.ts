import { readFileSync } from 'node:fs'

/** Unit of times in /proc (USER_HZ); 100 on all Linux systems that Node.js supports. */
const TICKS_PER_SECOND = 100
/** Indexes of fields in /proc/PID/stat, counted from the first field after the process name. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12
const BYTES_PER_KIBIBYTE = 1024

/** Returns the processor time that a process has used so far. */
export function processorSeconds (processId: number): number {
  const text = readFileSync(`/proc/${processId}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) / TICKS_PER_SECOND
}

/** Returns the resident memory of a process. */
export function residentBytes (processId: number): number {
  const kibibytes = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1]
  return Number(kibibytes) * BYTES_PER_KIBIBYTE
}

/** Returns the bytes that a process has read and written so far on sockets and files. */
export function ioBytes (processId: number): number {
  const text = readFileSync(`/proc/${processId}/io`, 'utf8')
  return Number(/^rchar: (\d+)$/m.exec(text)?.[1]) + Number(/^wchar: (\d+)$/m.exec(text)?.[1])
}
