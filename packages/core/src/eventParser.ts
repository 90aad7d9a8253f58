/** Parsing of event streams of backend servers and sidecars. */
import { createParser, type EventSourceMessage, type EventSourceParser } from 'eventsource-parser'

/** Options of {@link createEventParser}. */
export interface EventParserOptions {
  readonly onEvent: (event: EventSourceMessage) => void
}

/** Creates a function that converts the line ends of a text, which comes in pieces, to line feeds. */
function createLineEndConverter(): (piece: string) => string {
  let isAfterReturn = false
  return (piece) => {
    const start = isAfterReturn && piece.startsWith('\n') ? 1 : 0
    if (piece !== '') isAfterReturn = piece.endsWith('\r')
    const text = piece.slice(start)
    return text.includes('\r') ? text.replaceAll(/\r\n?/g, '\n') : text
  }
}

/**
 * Creates a parser of an event stream. Its lines may end in any way: where both kinds of ends occur in one piece, the
 * library would search the rest of that piece twice for each line.
 */
export function createEventParser({
  onEvent,
}: EventParserOptions): Pick<EventSourceParser, 'feed'> {
  const parser = createParser({ onEvent })
  const toLineFeeds = createLineEndConverter()
  return { feed: (piece) => parser.feed(toLineFeeds(piece)) }
}

export type { EventSourceMessage }
