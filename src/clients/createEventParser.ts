/**
 * Parser for the event streams of engines, with a limit on the size of an event.
 */
import { createParser, type EventSourceParser } from 'eventsource-parser'

/** Maximum size of the data of one event and of one line, in characters. */
const maxEventCharacters = 1_048_576

/** Creates a parser that passes on the data of each event. Its `feed` throws if an event is larger than 1 MiB. */
export function createEventParser (onData: (data: string) => void): EventSourceParser {
  return createParser({
    onEvent: ({ data }) => { onData(data) },
    maxBufferSize: maxEventCharacters,
    onError: ({ type }) => {
      if (type === 'max-buffer-size-exceeded') throw new Error(`an event is larger than ${maxEventCharacters} characters`)
    }
  })
}
