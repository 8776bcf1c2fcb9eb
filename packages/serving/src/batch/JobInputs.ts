/** Stores the content of the items of batch jobs as objects, and caches it. */
import type { ObjectFailure, ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { err, ok, type Result } from 'neverthrow';
import { jobInput, type JobInput } from './JobRecord.js';

/** Maximum number of job inputs that are cached in memory. */
const MAX_CACHED_INPUTS = 16;

/** Dependencies of {@link JobInputs}. */
export interface JobInputsDependencies {
  readonly objects: ObjectStore;
  readonly journal: Journal;
}

/** Inputs of batch jobs. */
export class JobInputs {
  private readonly cache = new Map<string, JobInput>();

  constructor(private readonly dependencies: JobInputsDependencies) {}

  /**
   * Stores an input.
   *
   * @param name - name of the object
   * @param input - the items
   * @param signal - aborted when the caller must get a status
   * @returns nothing, or a failure after which the store may hold the object nevertheless
   */
  async store(
    name: string,
    input: JobInput,
    signal: AbortSignal,
  ): Promise<Result<void, ObjectFailure>> {
    const put = await this.dependencies.objects.put(name, JSON.stringify(input), signal);
    if (put.isOk()) this.put(name, input);
    return put;
  }

  /**
   * Loads an input.
   *
   * @param name - name of the object
   * @param signal - aborted when a caller must get a status
   * @returns the items, or a failure
   */
  async load(name: string, signal?: AbortSignal): Promise<Result<JobInput, ObjectFailure>> {
    const cached = this.cache.get(name);
    if (cached) return ok(cached);
    const object = await this.dependencies.objects.get(name, undefined, signal);
    if (object.isErr()) return err(object.error);
    const input = jobInput.parse(JSON.parse(object.value.toString()));
    this.put(name, input);
    return ok(input);
  }

  /**
   * Removes an input.
   *
   * @param name - name of the object
   * @returns nothing, or a failure
   */
  async remove(name: string): Promise<Result<void, ObjectFailure>> {
    return this.dependencies.objects.remove(name);
  }

  /**
   * Removes the input of a job that was not accepted, and logs whether it is gone.
   *
   * @param name - name of the object
   */
  async discard(name: string): Promise<void> {
    this.cache.delete(name);
    const removed = await this.remove(name);
    this.dependencies.journal.record('input-discarded', {
      object: name,
      outcome: removed.isOk() ? 'removed' : removed.error.kind,
    });
  }

  private put(name: string, input: JobInput): void {
    this.cache.set(name, input);
    const [oldest] = this.cache.keys();
    if (this.cache.size > MAX_CACHED_INPUTS && oldest !== undefined) this.cache.delete(oldest);
  }
}
