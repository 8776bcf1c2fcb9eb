/** One HTTP call on a connection of its own. */
import { request } from 'node:http';

/**
 * @typedef {object} Call
 * @property {string} host - IP address
 * @property {number} port - port
 * @property {string} path - path with query
 * @property {string} [method] - method
 * @property {Record<string, string>} [headers] - headers
 * @property {string | Buffer} [body] - body
 * @property {number} [waitMs] - how long the caller waits for the end of the answer. Unit: ms
 */

/**
 * @typedef {object} Seen
 * @property {number | undefined} status - status; undefined without an answer
 * @property {import('node:http').IncomingHttpHeaders} headers - headers
 * @property {string} body - what has arrived of the body
 * @property {boolean} isComplete - whether the answer has ended as complete
 * @property {string} [failure] - why there is no complete answer
 */

/**
 * Sends a call.
 *
 * @param {Call} options - the call
 * @returns {Promise<Seen>} what the caller has seen
 */
export const call = ({ host, port, path, method = 'GET', headers = {}, body, waitMs = 5000 }) =>
  new Promise((resolve) => {
    /** @type {Seen} */
    const seen = { status: undefined, headers: {}, body: '', isComplete: false };
    const sent = request({ host, port, path, method, headers, agent: false });
    /** @param {string} [failure] - why the answer is not complete */
    const end = (failure) => {
      if (failure !== undefined) seen.failure = failure;
      sent.destroy();
      resolve(seen);
    };
    const timer = setTimeout(() => end('no answer in time'), waitMs);
    sent.on('response', (message) => {
      seen.status = message.statusCode;
      seen.headers = message.headers;
      message.on('data', (bytes) => {
        seen.body += bytes.toString();
      });
      message.on('end', () => {
        seen.isComplete = message.complete;
        clearTimeout(timer);
        end();
      });
      message.on('error', (error) => end(error.message));
    });
    sent.on('error', (error) => {
      clearTimeout(timer);
      end(error.message);
    });
    sent.end(body);
  });
