/** A TCP path between one machine and one address, which can be harmed. */
import { connect, createServer } from 'node:net';

/**
 * @typedef {object} Pair
 * @property {import('node:net').Socket} outer - connection of the machine
 * @property {import('node:net').Socket} inner - connection to the address
 * @property {boolean} isSilent - whether it carries nothing any more
 */

export class Link {
  /** @type {Set<Pair>} */
  pairs = new Set();

  /** @type {((text: string) => boolean) | undefined} */
  mustSilence = undefined;

  /** @type {(() => void) | undefined} */
  onSilenced = undefined;

  server = createServer((outer) => this.accept(outer));

  /** @param {string} address - IP address and port of the other end */
  constructor(address) {
    this.address = address;
  }

  /** @returns {Promise<string>} the address at which the machine reaches the other end */
  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve(undefined));
    });
    const address = /** @type {import('node:net').AddressInfo} */ (this.server.address());
    return `127.0.0.1:${address.port}`;
  }

  stop() {
    this.server.close();
    this.pairs.forEach(({ outer, inner }) => {
      outer.destroy();
      inner.destroy();
    });
  }

  /**
   * Makes one open connection silent for good, without a reset: the one on which the next matching call is sent.
   *
   * @param {(text: string) => boolean} matches - checks the bytes of a call
   * @returns {Promise<void>} when the connection is silent
   */
  silenceNext(matches) {
    this.mustSilence = matches;
    return new Promise((resolve) => {
      this.onSilenced = () => resolve(undefined);
    });
  }

  /** @param {import('node:net').Socket} outer - a new connection */
  accept(outer) {
    const [host = '', port] = this.address.split(':');
    const inner = connect({ host, port: Number(port), noDelay: true });
    outer.setNoDelay(true);
    const pair = { outer, inner, isSilent: false };
    this.pairs.add(pair);
    outer.on('data', (bytes) => {
      if (this.mustSilence?.(bytes.toString('latin1'))) {
        this.mustSilence = undefined;
        pair.isSilent = true;
        this.onSilenced?.();
      }
      if (!pair.isSilent) inner.write(bytes);
    });
    inner.on('data', (bytes) => {
      if (!pair.isSilent) outer.write(bytes);
    });
    const end = () => {
      inner.destroy();
      outer.destroy();
      this.pairs.delete(pair);
    };
    outer.on('close', end);
    outer.on('error', end);
    // A silent connection doesn't show what the other end does.
    const endFromInner = () => {
      if (!pair.isSilent) end();
    };
    inner.on('close', endFromInner);
    inner.on('error', endFromInner);
  }
}
