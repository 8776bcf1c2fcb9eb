/** Writes the pages of `docs/` that are generated from the catalogues. */
import { writeFile } from 'node:fs/promises';
import { renderCatalogues } from '@jacinthlug/catalog/renderCatalogues';

await Promise.all(
  Object.entries(renderCatalogues()).map(([name, text]) => writeFile(`docs/${name}`, text)),
);
