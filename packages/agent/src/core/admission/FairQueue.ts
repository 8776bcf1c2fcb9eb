/**
 * Start-time fair queue over client accounts.
 *
 * The start tag of an entry is the finish tag of the previous entry of the same account, or the
 * virtual time at its arrival if that is later. Its finish tag is the start tag plus the cost
 * divided by the weight. The entry with the lowest start tag leaves first, so an account with many
 * requests delays its own requests, not those of others.
 */

/** An entry to be queued. */
export interface FairEntry<Item> {
  readonly account: string;
  readonly weight: number;
  /** Estimated work of the entry. Unit: tokens. */
  readonly cost: number;
  readonly item: Item;
}

/** A queued entry with its position. */
export interface Ticket<Item> extends FairEntry<Item> {
  /** Virtual time at which the entry arrived. */
  readonly arrivedAt: number;
  readonly sequence: number;
  startTag: number;
}

interface Flow<Item> {
  /** Finish tag of the entry that left the queue last. */
  lastFinishTag: number;
  tickets: Ticket<Item>[];
}

const isBefore = <Item>(left: Ticket<Item>, right: Ticket<Item>): boolean =>
  left.startTag < right.startTag ||
  (left.startTag === right.startTag && left.sequence < right.sequence);

const getFinishTag = <Item>({ startTag, cost, weight }: Ticket<Item>): number =>
  startTag + cost / weight;

/** Recomputes the start tags of an account's entries. */
const updateStartTags = <Item>(flow: Flow<Item>): void => {
  let earliest = flow.lastFinishTag;
  flow.tickets.forEach((ticket) => {
    const startTag = Math.max(ticket.arrivedAt, earliest);
    Object.assign(ticket, { startTag });
    earliest = getFinishTag(ticket);
  });
};

/** Start-time fair queue over client accounts. */
export class FairQueue<Item> {
  private readonly flows = new Map<string, Flow<Item>>();

  private virtualTime = 0;

  private sequence = 0;

  private count = 0;

  get size(): number {
    return this.count;
  }

  push(entry: FairEntry<Item>): Ticket<Item> {
    const flow = this.flows.get(entry.account) ?? { lastFinishTag: 0, tickets: [] };
    this.flows.set(entry.account, flow);
    this.sequence += 1;
    const ticket = {
      ...entry,
      arrivedAt: this.virtualTime,
      sequence: this.sequence,
      startTag: 0,
    };
    flow.tickets.push(ticket);
    this.count += 1;
    updateStartTags(flow);
    return ticket;
  }

  /**
   * Finds the entry that is next in fair order.
   *
   * @returns its ticket; undefined when the queue is empty
   */
  first(): Ticket<Item> | undefined {
    const heads = [...this.flows.values()].flatMap(({ tickets }) => tickets.slice(0, 1));
    return heads.reduce<Ticket<Item> | undefined>(
      (best, head) => (best === undefined || isBefore(head, best) ? head : best),
      undefined,
    );
  }

  /**
   * Finds the entry that is last in fair order.
   *
   * @returns its ticket; undefined when the queue is empty
   */
  last(): Ticket<Item> | undefined {
    const tails = [...this.flows.values()].flatMap(({ tickets }) => tickets.slice(-1));
    return tails.reduce<Ticket<Item> | undefined>(
      (best, tail) => (best === undefined || isBefore(best, tail) ? tail : best),
      undefined,
    );
  }

  /**
   * Removes the entry that {@link first} finds.
   *
   * @returns its ticket; undefined when the queue is empty
   */
  shift(): Ticket<Item> | undefined {
    const ticket = this.first();
    const flow = ticket && this.flows.get(ticket.account);
    if (!ticket || !flow) return undefined;
    flow.tickets.shift();
    flow.lastFinishTag = getFinishTag(ticket);
    this.count -= 1;
    this.virtualTime = Math.max(this.virtualTime, ticket.startTag);
    this.removeIdleFlows();
    return ticket;
  }

  /**
   * Removes an entry that will not run; later entries of its account move up.
   *
   * @param ticket - ticket of the entry
   * @returns whether it was still queued
   */
  remove(ticket: Ticket<Item>): boolean {
    const flow = this.flows.get(ticket.account);
    const index = flow?.tickets.indexOf(ticket) ?? -1;
    if (!flow || index < 0) return false;
    flow.tickets.splice(index, 1);
    this.count -= 1;
    updateStartTags(flow);
    return true;
  }

  /**
   * Counts the entries that come before a given one in fair order.
   *
   * @param ticket - ticket of a queued entry
   * @returns number of entries
   */
  countBefore(ticket: Ticket<Item>): number {
    return this.all().filter((other) => other !== ticket && isBefore(other, ticket)).length;
  }

  all(): Ticket<Item>[] {
    return [...this.flows.values()].flatMap(({ tickets }) => tickets);
  }

  private removeIdleFlows(): void {
    this.flows.forEach(({ lastFinishTag, tickets }, account) => {
      if (tickets.length === 0 && lastFinishTag <= this.virtualTime) this.flows.delete(account);
    });
  }
}
