/** Input of batch jobs for demonstrations, measurements and scenarios. */

/**
 * Builds the lines of a batch input file.
 *
 * @param model - model of all items
 * @param count - number of items
 * @param maxTokens - length of each answer
 * @param contentOf - text of the user, by index
 * @returns one line for each item, with the custom ids `item-0` and up
 */
export const createBatchLines = (
  model: string,
  count: number,
  maxTokens: number,
  contentOf: (index: number) => string,
): string[] =>
  Array.from({ length: count }, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: {
        model,
        max_tokens: maxTokens,
        messages: [{ role: 'user', content: contentOf(index) }],
      },
    }),
  );
