/**
 * Start-time fair queue over client accounts.
 *
 * An entry's start tag is the finish tag of the entry before it of the same account, but at least
 * the virtual time at its arrival; its finish tag adds cost divided by weight. The lowest start tag
 * leaves first, so an account that queues much waits behind its own requests, not before others'.
 */

/** What is queued. */
export interface FairEntry<Item> {
  readonly account: string;
  readonly weight: number;
  /** Work that the entry brings, in tokens. */
  readonly cost: number;
  readonly item: Item;
}

/** An entry with its place in the queue. */
export interface Ticket<Item> extends FairEntry<Item> {
  /** Virtual time at arrival. */
  readonly arrivedAt: number;
  readonly sequence: number;
  start: number;
}

interface Flow<Item> {
  /** Finish tag of the last entry that left. */
  finished: number;
  tickets: Ticket<Item>[];
}

const isBefore = <Item>(left: Ticket<Item>, right: Ticket<Item>): boolean =>
  left.start < right.start || (left.start === right.start && left.sequence < right.sequence);

const getFinishTag = <Item>({ start, cost, weight }: Ticket<Item>): number => start + cost / weight;

/** Computes the start tags of an account's entries anew. */
const updateStartTags = <Item>(flow: Flow<Item>): void => {
  let earliest = flow.finished;
  flow.tickets.forEach((ticket) => {
    const start = Math.max(ticket.arrivedAt, earliest);
    Object.assign(ticket, { start });
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
    const flow = this.flows.get(entry.account) ?? { finished: 0, tickets: [] };
    this.flows.set(entry.account, flow);
    this.sequence += 1;
    const ticket = {
      ...entry,
      arrivedAt: this.virtualTime,
      sequence: this.sequence,
      start: 0,
    };
    flow.tickets.push(ticket);
    this.count += 1;
    updateStartTags(flow);
    return ticket;
  }

  /**
   * Finds the entry that leaves next.
   *
   * @returns its ticket; nothing when the queue is empty
   */
  first(): Ticket<Item> | undefined {
    const heads = [...this.flows.values()].flatMap(({ tickets }) => tickets.slice(0, 1));
    return heads.reduce<Ticket<Item> | undefined>(
      (best, head) => (best === undefined || isBefore(head, best) ? head : best),
      undefined,
    );
  }

  /**
   * Finds the entry that leaves last.
   *
   * @returns its ticket; nothing when the queue is empty
   */
  last(): Ticket<Item> | undefined {
    const tails = [...this.flows.values()].flatMap(({ tickets }) => tickets.slice(-1));
    return tails.reduce<Ticket<Item> | undefined>(
      (best, tail) => (best === undefined || isBefore(best, tail) ? tail : best),
      undefined,
    );
  }

  /**
   * Takes the entry that {@link first} finds.
   *
   * @returns its ticket; nothing when the queue is empty
   */
  shift(): Ticket<Item> | undefined {
    const ticket = this.first();
    const flow = ticket && this.flows.get(ticket.account);
    if (!ticket || !flow) return undefined;
    flow.tickets.shift();
    flow.finished = getFinishTag(ticket);
    this.count -= 1;
    this.virtualTime = Math.max(this.virtualTime, ticket.start);
    this.removeIdleFlows();
    return ticket;
  }

  /**
   * Removes an entry that will not run; later ones of its account move up.
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
   * Counts the entries that leave before a given one.
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
    this.flows.forEach(({ finished, tickets }, account) => {
      if (tickets.length === 0 && finished <= this.virtualTime) this.flows.delete(account);
    });
  }
}
