/** The catalogue of exit codes. `docs/exit-codes.md` lists them. */

/** Exit codes by what happened. */
export const exitCodes = {
  success: 0,
  /** A fault of the program itself. */
  fault: 1,
  /** Wrong arguments or flags; oclif uses the same number. */
  usage: 2,
  /** Declarations or batch input are not valid; nothing was changed. */
  invalid: 3,
  /** The server refused the call and coming back does not help; nothing was changed. */
  refused: 4,
  /** Another edit was accepted meanwhile; nothing was changed. */
  conflict: 5,
  /** The entry host cannot be reached or cannot serve now; nothing was changed. */
  unavailable: 6,
  /** No certain answer came; the call may have taken effect. */
  unknown: 7,
  /** The credential or key was not accepted; nothing was changed. */
  unauthorized: 8,
  /** The batch job has no such results, or none yet. */
  notReady: 9,
} as const;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
