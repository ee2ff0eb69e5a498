/** Priority of a request, from most to least urgent. */
export type Priority = 'interactive' | 'standard' | 'bulk'

/** All priorities, most urgent first. */
export const PRIORITIES: readonly Priority[] = ['interactive', 'standard', 'bulk']

/** Prompts below this share of the bulk threshold are interactive: short questions rather than documents. */
const INTERACTIVE_THRESHOLD_SHARE = 1 / 8

/** Classifies a request by the size of its prompt; `bulkPromptBytes` is the smallest bulk prompt. */
export function classifyPriority (promptBytes: number, bulkPromptBytes: number): Priority {
  if (promptBytes >= bulkPromptBytes) return 'bulk'
  return promptBytes < bulkPromptBytes * INTERACTIVE_THRESHOLD_SHARE ? 'interactive' : 'standard'
}

/** Rank of a priority; 0 is the most urgent. */
export function rankOfPriority (priority: Priority): number {
  return PRIORITIES.indexOf(priority)
}
