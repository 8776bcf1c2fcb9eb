/** A streamed chat as a caller sees it, byte by byte. */

/** A running stream. */
export interface RunningStream {
  readonly status: number;
  /** Settles with the first content, or with the end when there is none. */
  readonly firstToken: Promise<void>;
  /** The whole text when the stream has ended; a cut stream ends too. */
  readonly end: Promise<{ readonly text: string; readonly isWhole: boolean }>;
}

/**
 * Starts a streamed chat.
 *
 * @param url - base URL of an entry host
 * @param secret - key
 * @param body - chat request with `stream`
 * @returns the stream
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
  let sawToken = (): void => undefined;
  const firstToken = new Promise<void>((resolve) => {
    sawToken = resolve;
  });
  const read = async () => {
    let text = '';
    let isClean = true;
    const decoder = new TextDecoder();
    try {
      for await (const chunk of response.body ?? []) {
        text += decoder.decode(chunk as Uint8Array, { stream: true });
        if (text.includes('"content"')) sawToken();
      }
    } catch {
      isClean = false;
    }
    sawToken();
    return { text, isWhole: isClean && text.trimEnd().endsWith('data: [DONE]') };
  };
  return { status: response.status, firstToken, end: read() };
};
