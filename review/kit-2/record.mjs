/** The record of a case. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Collects what was sent, answered and run, and writes it to `record.txt`. */
export class Record {
  lines = [];

  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.startedAt = performance.now();
  }

  add(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(2);
    this.lines.push(`${seconds} s  ${text}`);
  }

  async save() {
    await writeFile(this.file, `${this.lines.join('\n')}\n`);
  }
}
