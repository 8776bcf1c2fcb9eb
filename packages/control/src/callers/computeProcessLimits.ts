/** Limits on what an entry host or an agent holds for callers. */
import type { MachineLimits } from '@jacinthlug/settings/process/hostSettings';
import { computeHeldLimits, type HeldLimits } from './computeHeldLimits.js';

const BYTES_PER_MEGABYTE = 1_000_000;

/** Memory of a process without callers, including what the garbage collector has not freed yet. Unit: bytes. */
const BASE_MEMORY_BYTES = 240_000_000;

/** Minimum memory for bodies; a body of an online request and its overhead fit. Unit: bytes. */
const MIN_BODY_MEMORY_BYTES = 8_000_000;

/** Part of the descriptors that callers' connections may take, as each one may need another one to an agent. */
const CALLER_DESCRIPTORS_SHARE = 1 / 2;

/**
 * Computes the limits of a process.
 *
 * @param machine - limits of its machine
 * @returns the limits
 */
export const computeProcessLimits = ({ memoryMb, descriptors }: MachineLimits): HeldLimits =>
  computeHeldLimits({
    memoryBytes: memoryMb * BYTES_PER_MEGABYTE,
    baseMemoryBytes: BASE_MEMORY_BYTES,
    minBodyMemoryBytes: MIN_BODY_MEMORY_BYTES,
    maxBodyMemoryBytes: Number.POSITIVE_INFINITY,
    descriptors,
    callerDescriptorsShare: CALLER_DESCRIPTORS_SHARE,
  });
