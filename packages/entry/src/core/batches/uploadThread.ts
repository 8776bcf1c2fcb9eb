/** Entry point of the worker thread that parses a large upload. */
import { parentPort, workerData } from 'node:worker_threads';
import { parseUpload } from './parseUpload.js';
import type { UploadTask } from './parseLargeUpload.js';

const { body, contentType } = workerData as UploadTask;
const parsed = await parseUpload(body, contentType);
parentPort?.postMessage(parsed, parsed?.file ? [parsed.file.content.buffer] : []);
