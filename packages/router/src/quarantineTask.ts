import type { CreateQuarantineTask } from './taskContracts.js'

export const createQuarantineTask: CreateQuarantineTask = () => ({
  admit: () => ({ kind: 'admitted' }),
  startTrial: async (_fingerprint, candidates) => candidates[0],
  endTrial: () => {},
  abandonTrial: () => {},
  recordCrash: async () => {},
  receiveSuspects: () => {},
  recentSuspects: () => [],
  stop: async () => {}
})
