package cairnline.routing;

/**
 * Every size, count and time of the program, filled at start. Sizes are bytes, times microseconds.
 *
 * @param coreMailbox letters that the core holds; readers wait when it is full
 * @param peerMailbox letters that a peer holds; a peer that lets it fill is closed, or full
 * @param coreStack stack of the program's threads
 * @param clients client connections at once
 * @param openPerClient open requests on one client connection
 * @param openRequests open requests in all
 * @param openBytes bytes in all of statements that are open and of messages that have begun and not ended
 * @param idle after this an idle connection is closed from this side, before an engine does it
 * @param clientIdle after this a client's connection with nothing open is closed
 * @param evictable one on which nothing has moved for so long gives way to another where there is no room
 * @param firstMessage a client that has asked nothing whole by then is turned away
 * @param wholeMessage a client's message that has begun must be whole by then
 * @param linger so long a connection on which no more is said waits for its peer to close it
 * @param lingerBytes and so much is read there and dropped
 * @param writeStall a peer that takes nothing for so long is closed
 * @param frame longest client frame
 * @param part largest part of an engine's answer
 * @param page largest page of a result
 * @param pages most pages of a result
 * @param result largest result
 * @param engineConnections connections to one engine
 * @param enginesConnections connections to all engines together
 * @param engineStreams open requests on one connection to an engine
 * @param streamsSpread from so many on another connection is opened: one that ends takes all that is open on it along
 * @param silence a connection with requests open that tells nothing for so long is closed
 * @param partialAnswer one on which an answer has begun and not ended by then is closed
 * @param connect a connection that is not up by then has failed
 * @param feedConnect a control feed that is not up by then is tried again
 * @param feedPause between attempts to reach the control feed
 * @param feedSilence after this a silent control feed is left and reached anew
 * @param feedFirst so long a control feed just asked may take to tell what it has
 * @param feedLine longest line of the control feed
 * @param answerMargin answers go out so long before the client gives up
 * @param drainGrace nothing leaves for an engine so long after it was told to drain
 * @param stopTaking after SIGTERM requests are taken for so long
 * @param stopAnswering and after so long what is still open is answered as refused or failed
 * @param flush after the last answer connections have so long to end in order
 * @param retryAfter advice to a refused client, where the wire has room for it and the module gives none
 * @param httpConnections connections to one OData engine, each of which carries one request
 * @param httpHead longest head of an HTTP message
 * @param httpBody longest body of an HTTP message, and longest answer over OData
 * @param httpPages most pages of one answer over OData
 * @param batch most requests in one batch
 */
public record Limits(int coreMailbox, int peerMailbox, int coreStack, int clients, int openPerClient,
                     int openRequests, long openBytes, long idle, long clientIdle, long evictable, long firstMessage,
                     long wholeMessage, long linger, int lingerBytes, long writeStall, int frame, int part, int page, int pages, int result,
                     int engineConnections, int enginesConnections, int engineStreams, int streamsSpread, long silence, long partialAnswer, long connect, long feedConnect, long feedPause,
                     long feedSilence, long feedFirst, int feedLine, long answerMargin, long drainGrace, long stopTaking, long stopAnswering, long flush,
                     long retryAfter, int httpConnections, int httpHead, int httpBody, int httpPages, int batch) { }
