/** Object store client for the S3 REST API. */
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

/** Minimum transfer rate; the timeout of a call grows with the size of the object. Unit: bytes/ms. */
const MIN_TRANSFER_BYTES_PER_MS = 10_000;

const NOT_FOUND_STATUS = 404;

const classifyObjectFault = (fault: unknown): ObjectFailure => {
  const { name, status, message } = readFault(fault);
  if (name === 'NoSuchKey' || status === NOT_FOUND_STATUS) return { kind: 'absent' };
  return { kind: 'unavailable', message };
};

/** Returns the body of a response; in Node.js the client always returns a stream. */
const getBodyStream = ({ Body }: GetObjectCommandOutput): Readable => Body as unknown as Readable;

/** {@link ObjectStore} that uses the S3 REST API. */
export class S3ObjectStore implements ObjectStore {
  private readonly client: S3Client;

  private readonly bucket: string;

  private readonly callLimitMs: number;

  /**
   * @param settings - endpoint and credentials of the service
   * @param metrics - counts each call by its outcome
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
      // Other S3 implementations reject the trailing checksums and signed chunks that the SDK sends by default.
      requestChecksumCalculation: 'WHEN_REQUIRED',
      responseChecksumValidation: 'WHEN_REQUIRED',
      requestHandler: new NodeHttpHandler({ connectionTimeout: callLimitMs / 2 }),
    });
  }

  put(
    name: string,
    body: Uint8Array | string,
    signal?: AbortSignal,
  ): ResultAsync<void, ObjectFailure> {
    const content = typeof body === 'string' ? Buffer.from(body) : body;
    const command = new PutObjectCommand({ Bucket: this.bucket, Key: name, Body: content });
    const timeoutMs = this.callLimitMs + content.length / MIN_TRANSFER_BYTES_PER_MS;
    return this.call(
      'object.put',
      async (timeout) => {
        await this.client.send(command, { abortSignal: signal ?? timeout.signal });
      },
      timeoutMs,
    );
  }

  get(name: string, range?: ByteRange, signal?: AbortSignal): ResultAsync<Buffer, ObjectFailure> {
    const command = new GetObjectCommand({
      Bucket: this.bucket,
      Key: name,
      ...(range ? { Range: `bytes=${range.first}-${range.last}` } : {}),
    });
    return this.call('object.get', async (timeout) => {
      const response = await this.client.send(command, { abortSignal: signal ?? timeout.signal });
      timeout.restart(this.callLimitMs + (response.ContentLength ?? 0) / MIN_TRANSFER_BYTES_PER_MS);
      return buffer(getBodyStream(response));
    });
  }

  /**
   * Opens an object for reading as a stream. The timeout covers only the call up to the response
   * headers: a reader with a deadline destroys the stream when the deadline passes.
   *
   * @param name - name of the object
   * @returns the stream; it emits an error when the response is truncated
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

  /** Makes one call with a timeout and counts it by its outcome. */
  private call<Output>(
    operation: Operation,
    send: (timeout: CallTimeout) => Promise<Output>,
    timeoutMs = this.callLimitMs,
  ): ResultAsync<Output, ObjectFailure> {
    const timeout = new CallTimeout(timeoutMs);
    const pending = send(timeout).finally(() => timeout.clear());
    return ResultAsync.fromPromise(pending, classifyObjectFault)
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
