/** A caller that sends requests of one form, most of which have no end, on one connection after another. */
import { connect, type Socket } from 'node:net';
import type { CrowdForm } from './crowdForms.js';

/** Pause before a connection that the host has closed is replaced. Unit: ms. */
const RECONNECT_PAUSE_MS = 50;

/** Maximum number of connections of one caller. */
const MAX_CONNECTIONS = 100;

/** What a caller of a crowd does. */
export interface CrowdCallerOptions {
  readonly address: { readonly host: string; readonly port: number };
  readonly form: CrowdForm;
  readonly path: string;
  /**
   * Creates the fields of each request besides its host and length.
   *
   * @param connection - number of the connection, from 1
   * @returns the fields, as `name: value`
   */
  readonly createFields: (connection: number) => readonly string[];
}

/** One caller. */
export class CrowdCaller {
  /** Statuses of the responses. */
  readonly statuses: string[] = [];

  private socket: Socket | undefined;

  private connections = 0;

  private isClosed = false;

  constructor(private readonly options: CrowdCallerOptions) {}

  /** Opens a connection, and another one whenever the host closes it. */
  open(): void {
    if (this.isClosed || this.connections >= MAX_CONNECTIONS) return;
    this.connections += 1;
    const { address, form } = this.options;
    const socket = connect(address);
    this.socket = socket;
    let sentBytes = 0;
    const send = (): void => {
      if (socket.destroyed || sentBytes >= form.totalBytes) return;
      const part = form.piece.subarray(0, form.totalBytes - sentBytes);
      sentBytes += part.length;
      if (socket.write(part)) setTimeout(send, form.pauseMs ?? 0);
      else socket.once('drain', send);
    };
    socket.on('connect', () => {
      if (!form.head) return;
      socket.write([...this.createFields(), ...form.head].join('\r\n'));
      send();
    });
    socket.on('data', (bytes) => {
      const status = /^HTTP\/1\.1 (\d+)/.exec(bytes.toString('latin1'))?.[1];
      if (status) this.statuses.push(status);
      // A caller of whole bodies goes on with the next one; the others leave their connection open.
      if (sentBytes >= form.totalBytes && this.isWhole) socket.destroy();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => setTimeout(() => this.open(), RECONNECT_PAUSE_MS));
  }

  /** Closes the connection for good. */
  close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }

  private get isWhole(): boolean {
    const { head, totalBytes } = this.options.form;
    return head?.includes(`content-length: ${totalBytes}`) ?? false;
  }

  private createFields(): string[] {
    const { path, createFields } = this.options;
    return [`POST ${path} HTTP/1.1`, 'host: x.example', ...createFields(this.connections)];
  }
}
