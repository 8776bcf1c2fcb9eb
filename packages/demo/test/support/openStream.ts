/** Reads a streamed chat as its caller receives it. */

/** A running stream. */
export interface RunningStream {
  readonly status: number;
  /** Resolves with the first content, or at the end of a stream without content. */
  readonly firstToken: Promise<void>;
  /** Resolves with all text at the end of the stream, also when the connection closed early. */
  readonly end: Promise<{ readonly text: string; readonly isComplete: boolean }>;
}

/**
 * Starts a streamed chat.
 *
 * @param url - base URL of an entry host
 * @param secret - secret of the key
 * @param body - chat request with `stream` set
 * @returns the running stream
 */
export const openStream = async (
  url: string,
  secret: string,
  body: unknown,
): Promise<RunningStream> => {
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  let resolveFirstToken = (): void => undefined;
  const firstToken = new Promise<void>((resolve) => {
    resolveFirstToken = resolve;
  });
  const read = async () => {
    let text = '';
    let isReadToEnd = true;
    const decoder = new TextDecoder();
    try {
      for await (const chunk of response.body ?? []) {
        text += decoder.decode(chunk as Uint8Array, { stream: true });
        if (text.includes('"content"')) resolveFirstToken();
      }
    } catch {
      isReadToEnd = false;
    }
    resolveFirstToken();
    return { text, isComplete: isReadToEnd && text.trimEnd().endsWith('data: [DONE]') };
  };
  return { status: response.status, firstToken, end: read() };
};
