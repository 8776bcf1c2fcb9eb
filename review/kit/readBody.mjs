/**
 * Reads the body of a message.
 *
 * @param {import('node:http').IncomingMessage} message - the message
 * @returns {Promise<Buffer>} its body
 */
export const readBody = async (message) => {
  const parts = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
};
