/** Limits on what a process holds for callers, derived from its machine. */

/** Part of the remaining memory that bodies may take. */
const BODIES_SHARE = 1 / 2;

/** Part of the memory of the machine that connections and incomplete heads may take. */
const CONNECTIONS_SHARE = 1 / 8;

/** Memory of a connection with an incomplete head. Unit: bytes. */
const CONNECTION_BYTES = 16_384;

/** Descriptors that are reserved for files. */
const FILE_DESCRIPTORS = 200;

/** Limits of the machine of a process, and what the process needs of them. */
export interface Machine {
  /** Memory that the process may use. Unit: bytes. */
  readonly memoryBytes: number;
  /** Memory of the process without callers, including what the garbage collector has not freed yet. Unit: bytes. */
  readonly baseMemoryBytes: number;
  /** Range of the memory for bodies. Unit: bytes. */
  readonly minBodyMemoryBytes: number;
  readonly maxBodyMemoryBytes: number;
  /** Maximum number of open descriptors. */
  readonly descriptors: number;
  /** Part of them that callers' connections may take, without those for files; other connections need the rest. */
  readonly callerDescriptorsShare: number;
}

/** Limits on what a process holds for callers. */
export interface HeldLimits {
  /** Memory for the bodies of requests. Unit: bytes. */
  readonly bodyMemoryBytes: number;
  /** Maximum number of connections. */
  readonly maxConnections: number;
}

/**
 * Computes the limits of a process.
 *
 * @param machine - limits of the machine
 * @returns the limits
 */
export const computeHeldLimits = ({
  memoryBytes,
  baseMemoryBytes,
  minBodyMemoryBytes,
  maxBodyMemoryBytes,
  descriptors,
  callerDescriptorsShare,
}: Machine): HeldLimits => {
  const freeBytes = memoryBytes - baseMemoryBytes;
  const byDescriptors = (descriptors - FILE_DESCRIPTORS) * callerDescriptorsShare;
  const byMemory = (memoryBytes * CONNECTIONS_SHARE) / CONNECTION_BYTES;
  return {
    bodyMemoryBytes: Math.min(
      maxBodyMemoryBytes,
      Math.max(minBodyMemoryBytes, freeBytes * BODIES_SHARE),
    ),
    maxConnections: Math.max(1, Math.floor(Math.min(byDescriptors, byMemory))),
  };
};
