/** Stand-in for the object store: the S3 REST API, in memory. */
import { createHash } from 'node:crypto';
import {
  startStandinServer,
  type Standin,
  type StandinAddress,
  type StandinResponse,
  type StandinRequest,
} from '../core/startStandinServer.js';

interface StoredObject {
  readonly body: Buffer;
  readonly etag: string;
  readonly changedAt: Date;
}

type Objects = Map<string, StoredObject>;

type MethodHandler = (objects: Objects, request: StandinRequest) => StandinResponse;

const xmlError = (status: number, code: string): StandinResponse => ({
  status,
  headers: { 'content-type': 'application/xml' },
  body: `<?xml version="1.0" encoding="UTF-8"?><Error><Code>${code}</Code><Message>${code}</Message></Error>`,
});

const createObjectHeaders = ({ etag, changedAt }: StoredObject): Record<string, string> => ({
  etag,
  'last-modified': changedAt.toUTCString(),
  'content-type': 'application/octet-stream',
  'accept-ranges': 'bytes',
});

const createRangeResponse = (object: StoredObject, range: string): StandinResponse => {
  const { body } = object;
  const [, firstText = '', lastText = ''] = /^bytes=(\d+)-(\d*)$/.exec(range) ?? [];
  const first = Number(firstText);
  if (firstText === '' || first >= body.length) return xmlError(416, 'InvalidRange');
  const last = Math.min(lastText === '' ? body.length - 1 : Number(lastText), body.length - 1);
  return {
    status: 206,
    headers: {
      ...createObjectHeaders(object),
      'content-range': `bytes ${first}-${last}/${body.length}`,
    },
    body: body.subarray(first, last + 1),
  };
};

const getObject: MethodHandler = (objects, { path, headers }) => {
  const object = objects.get(path);
  if (!object) return xmlError(404, 'NoSuchKey');
  if (headers.range !== undefined) return createRangeResponse(object, headers.range);
  return { status: 200, headers: createObjectHeaders(object), body: object.body };
};

const putObject: MethodHandler = (objects, { path, headers, body }) => {
  // The framing of a body in signed chunks would be stored with the body.
  if (headers['content-encoding']?.includes('aws-chunked')) return xmlError(501, 'NotImplemented');
  const etag = `"${createHash('md5').update(body).digest('hex')}"`;
  objects.set(path, { body, etag, changedAt: new Date() });
  return { status: 200, headers: { etag } };
};

const methodHandlers: Readonly<Record<string, MethodHandler>> = {
  PUT: putObject,
  GET: getObject,
  HEAD: getObject,
  DELETE(objects, { path }) {
    objects.delete(path);
    return { status: 204 };
  },
};

const writeMethods: ReadonlySet<string> = new Set(['PUT', 'DELETE']);

/** Error codes for the fault `refuse`, by HTTP status. */
const errorCodes = new Map([
  [403, 'AccessDenied'],
  [500, 'InternalError'],
  [503, 'SlowDown'],
]);

/**
 * Starts the stand-in for the object store. Every bucket exists, and only path-style URLs are
 * supported.
 *
 * @param address - address to listen on
 * @returns the running stand-in
 */
export const startObjectsStandin = async (address: StandinAddress): Promise<Standin> => {
  const objects: Objects = new Map();
  return startStandinServer(address, {
    isWrite: ({ method }) => writeMethods.has(method),
    handle(request) {
      const handler = methodHandlers[request.method];
      return handler ? handler(objects, request) : xmlError(405, 'MethodNotAllowed');
    },
    refuse(mode) {
      const status = typeof mode === 'number' ? mode : 503;
      return xmlError(status, errorCodes.get(status) ?? 'UnknownError');
    },
  });
};
