/** Sends one order to the target. */
import { request, type Dispatcher } from 'undici';
import type { PlannedOrder } from './planOrders.js';

/** Outcome of an order. Its effect is visible in the models that the target reports. */
export type OrderOutcome = 'followed' | 'old-number' | 'refused' | 'unknown';

/** Timeout for an order, which may load a model; no order takes effect later. Unit: ms. */
export const ORDER_TIMEOUT_MS = 30_000;

const OLD_NUMBER_STATUS = 409;

const classifyStatus = (status: number): OrderOutcome => {
  if (status === OLD_NUMBER_STATUS) return 'old-number';
  return status < 300 ? 'followed' : 'refused';
};

/**
 * Sends one order to the target.
 *
 * @param url - base URL of the target
 * @param dispatcher - connections to the target
 * @param number - fencing number
 * @param order - model and action
 * @param signal - cancels the wait for the response
 * @returns the outcome
 */
export const sendOrder = async (
  url: string,
  dispatcher: Dispatcher,
  number: number,
  order: PlannedOrder,
  signal: AbortSignal,
): Promise<OrderOutcome> => {
  try {
    const response = await request(new URL('/orders', url), {
      dispatcher,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ number, ...order }),
      signal: AbortSignal.any([signal, AbortSignal.timeout(ORDER_TIMEOUT_MS)]),
    });
    await response.body.dump();
    return classifyStatus(response.statusCode);
  } catch {
    return 'unknown';
  }
};
