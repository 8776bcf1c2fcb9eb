/** Catalogue of exit codes, documented in `docs/exit-codes.md`. */

/** Exit codes by outcome. */
export const exitCodes = {
  success: 0,
  /** Internal error of the program. */
  fault: 1,
  /** Invalid arguments or flags; oclif uses the same number. */
  usage: 2,
  /** Declarations or batch input are not valid; nothing was changed. */
  invalid: 3,
  /** The server refused the call and a retry does not help; nothing was changed. */
  refused: 4,
  /** Another edit was accepted in the meantime; nothing was changed. */
  conflict: 5,
  /** The entry host is unreachable or cannot serve the call at the moment; nothing was changed. */
  unavailable: 6,
  /** The outcome is unknown; the call may have taken effect. */
  unknown: 7,
  /** The credential or key was not accepted; nothing was changed. */
  unauthorized: 8,
  /** The batch job has no results of this kind, or none yet. */
  notReady: 9,
} as const;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
