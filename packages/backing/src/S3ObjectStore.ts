/** The object store by the S3 REST interface. */
import {
  DeleteObjectCommand,
  GetObjectCommand,
  PutObjectCommand,
  S3Client,
  type GetObjectCommandOutput,
} from '@aws-sdk/client-s3';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { PlatformSettings } from '@jacinthlug/settings/process/hostSettings';
import { NodeHttpHandler } from '@smithy/node-http-handler';
import type { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import { ResultAsync } from 'neverthrow';
import { CallTimeout } from './CallTimeout.js';
import type { ByteRange, ObjectFailure, ObjectStore } from './ObjectStore.js';
import { readFault } from './serviceFaults.js';

type Operation = 'object.put' | 'object.get' | 'object.open' | 'object.remove';

/** Slowest transfer that is waited for, so that the time limit grows with the size. Unit: bytes/ms. */
const MIN_TRANSFER_BYTES_PER_MS = 10_000;

const NOT_FOUND_STATUS = 404;

const classifyObjectFault = (fault: unknown): ObjectFailure => {
  const { name, status, message } = readFault(fault);
  if (name === 'NoSuchKey' || status === NOT_FOUND_STATUS) return { kind: 'absent' };
  return { kind: 'unavailable', message };
};

/** Body of an answer; in Node.js the client gives a stream. */
const getBodyStream = ({ Body }: GetObjectCommandOutput): Readable => Body as unknown as Readable;

/** The object store by the S3 REST interface. */
export class S3ObjectStore implements ObjectStore {
  private readonly client: S3Client;

  private readonly bucket: string;

  private readonly callLimitMs: number;

  /**
   * @param settings - where the service is and how to sign in
   * @param metrics - counts each call with its outcome
   */
  constructor(
    settings: PlatformSettings,
    private readonly metrics: Metrics,
  ) {
    const { accessKeyId, secretAccessKey, callLimitMs, objects, region } = settings;
    this.bucket = objects.bucket;
    this.callLimitMs = callLimitMs;
    this.client = new S3Client({
      endpoint: objects.url,
      region,
      credentials: { accessKeyId, secretAccessKey },
      forcePathStyle: true,
      maxAttempts: 1,
      // Stores of other makers refuse the trailing checksums and signed chunks that are the default.
      requestChecksumCalculation: 'WHEN_REQUIRED',
      responseChecksumValidation: 'WHEN_REQUIRED',
      requestHandler: new NodeHttpHandler({ connectionTimeout: callLimitMs / 2 }),
    });
  }

  put(name: string, body: Uint8Array | string): ResultAsync<void, ObjectFailure> {
    const content = typeof body === 'string' ? Buffer.from(body) : body;
    const command = new PutObjectCommand({ Bucket: this.bucket, Key: name, Body: content });
    const limitMs = this.callLimitMs + content.length / MIN_TRANSFER_BYTES_PER_MS;
    return this.call(
      'object.put',
      async ({ signal }) => {
        await this.client.send(command, { abortSignal: signal });
      },
      limitMs,
    );
  }

  get(name: string, range?: ByteRange): ResultAsync<Buffer, ObjectFailure> {
    const command = new GetObjectCommand({
      Bucket: this.bucket,
      Key: name,
      ...(range ? { Range: `bytes=${range.first}-${range.last}` } : {}),
    });
    return this.call('object.get', async (limit) => {
      const answer = await this.client.send(command, { abortSignal: limit.signal });
      limit.restart(this.callLimitMs + (answer.ContentLength ?? 0) / MIN_TRANSFER_BYTES_PER_MS);
      return buffer(getBodyStream(answer));
    });
  }

  /**
   * Opens an object for reading as a stream. The time limit ends with the head of the answer: a
   * reader that has a deadline destroys the stream when it passes.
   *
   * @param name - name of the object
   * @returns the stream; it errors when the answer is cut
   */
  open(name: string): ResultAsync<Readable, ObjectFailure> {
    const command = new GetObjectCommand({ Bucket: this.bucket, Key: name });
    return this.call('object.open', async ({ signal }) =>
      getBodyStream(await this.client.send(command, { abortSignal: signal })),
    );
  }

  remove(name: string): ResultAsync<void, ObjectFailure> {
    const command = new DeleteObjectCommand({ Bucket: this.bucket, Key: name });
    return this.call('object.remove', async ({ signal }) => {
      await this.client.send(command, { abortSignal: signal });
    });
  }

  close(): void {
    this.client.destroy();
  }

  /** Makes one call within its time limit and counts it with its outcome. */
  private call<Output>(
    operation: Operation,
    send: (limit: CallTimeout) => Promise<Output>,
    limitMs = this.callLimitMs,
  ): ResultAsync<Output, ObjectFailure> {
    const limit = new CallTimeout(limitMs);
    const sent = send(limit).finally(() => limit.clear());
    return ResultAsync.fromPromise(sent, classifyObjectFault)
      .map((output) => {
        this.metrics.count('platform.calls', { operation, outcome: 'ok' });
        return output;
      })
      .mapErr((failure) => {
        this.metrics.count('platform.calls', { operation, outcome: failure.kind });
        return failure;
      });
  }
}
