import { readFileSync } from 'node:fs'

/** Clock ticks per second in /proc, the same on all Linux systems that Node.js runs on. */
const TICKS_PER_SECOND = 100
/** Fields of /proc/PID/stat behind the process name, counted from its closing bracket. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12
const BYTES_PER_KIBIBYTE = 1024

/** Processor time that a process has used so far, seconds. */
export function processorSeconds (processId: number): number {
  const text = readFileSync(`/proc/${processId}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) / TICKS_PER_SECOND
}

/** Resident memory of a process, bytes. */
export function residentBytes (processId: number): number {
  const kibibytes = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1]
  return Number(kibibytes) * BYTES_PER_KIBIBYTE
}

/** Bytes that a process has read and written so far, on sockets and files. */
export function ioBytes (processId: number): number {
  const text = readFileSync(`/proc/${processId}/io`, 'utf8')
  return Number(/^rchar: (\d+)$/m.exec(text)?.[1]) + Number(/^wchar: (\d+)$/m.exec(text)?.[1])
}
