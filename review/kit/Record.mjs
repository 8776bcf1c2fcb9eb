/** The record of a case: what was sent, answered and run. */
import { writeFile } from 'node:fs/promises';

/** Collects lines with the time since the start, and writes them to a file. */
export class Record {
  /** @type {string[]} */
  lines = [];

  startedAt = performance.now();

  /** @param {string} file - path of the file */
  constructor(file) {
    this.file = file;
  }

  /** Time since the start. Unit: s. */
  get now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  /**
   * Adds a line.
   *
   * @param {string} text - what happened
   */
  add(text) {
    this.lines.push(`${this.now.toFixed(3).padStart(8)}  ${text}`);
  }

  async write() {
    await writeFile(this.file, `${this.lines.join('\n')}\n`);
  }
}
