/** HTTP server for control messages between hosts. */
import { createServer, type Server } from 'node:http';
import { refuse } from '@jacinthlug/catalog/resultCodes';
import type { ControlHandlers } from '@jacinthlug/protocol/controlRouter';
import { createControlListener } from '@jacinthlug/protocol/controlServer';
import { CONTROL_PATH } from '@jacinthlug/protocol/headers';
import { writeRefusal } from './writeRefusal.js';

/**
 * Creates the server for the inner address, which does not listen yet.
 *
 * @param handlers - handlers of the control procedures
 * @param fleetCredential - credential that peers must present
 * @returns the server
 */
export const createInnerServer = (handlers: ControlHandlers, fleetCredential: string): Server => {
  const control = createControlListener(handlers, fleetCredential);
  return createServer((request, response) => {
    if (request.url?.startsWith(`${CONTROL_PATH}/`)) control(request, response);
    else writeRefusal(response, refuse('route-unknown'), '');
  });
};
