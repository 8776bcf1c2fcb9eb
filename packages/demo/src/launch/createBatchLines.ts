/** Input files of batch jobs for the demonstration, measurements and tests. */

/**
 * Builds the lines of a batch input file.
 *
 * @param model - model of all items
 * @param count - number of items
 * @param maxTokens - maximum length of each response. Unit: tokens
 * @param createContent - returns the user message of an item by its index
 * @returns one line per item, with the custom ids `item-0`, `item-1` and so on
 */
export const createBatchLines = (
  model: string,
  count: number,
  maxTokens: number,
  createContent: (index: number) => string,
): string[] =>
  Array.from({ length: count }, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: {
        model,
        max_tokens: maxTokens,
        messages: [{ role: 'user', content: createContent(index) }],
      },
    }),
  );
