package cairnline.transport;

import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataException;
import cairnline.protocol.ODataModel;

/** The service and metadata documents, which need no engine. */
final class ODataDocuments {
    private static final String BATCH_PATH = "/$batch";

    private ODataDocuments() { }

    /** Returns the path of a request, without its query. */
    private static String path(HttpMessage request) {
        return request.target().split("\\?", 2)[0];
    }

    /** Whether a request is for the batch resource. */
    static boolean isBatch(HttpMessage request) {
        return path(request).equals(BATCH_PATH);
    }

    /** Returns the service or metadata document if one is requested; null for requests that need an engine. */
    static HttpMessage find(HttpMessage request, ODataModel model) {
        String path = path(request);
        if (!request.startLine()[2].equals("HTTP/1.0") && request.header("host").isEmpty()) {
            throw new ODataException(400, "the Host header is missing");
        }
        boolean isServiceDocument = path.isEmpty() || path.equals("/");
        boolean isMetadata = path.equals("/$metadata");
        boolean isBatch = path.equals(BATCH_PATH);
        if (!isServiceDocument && !isMetadata && !isBatch) {
            return null;
        }
        if (!request.method().equals(isBatch ? "POST" : "GET")) {
            throw new ODataException(405, path + " does not serve " + request.method());
        }
        if (isServiceDocument) {
            return HttpMessage.response(200, ODataModel.JSON_CONTENT_TYPE, model.serviceDocument());
        }
        boolean isJson = request.target().contains("$format=json") || request.target().contains("%24format=json")
                || request.header("accept").startsWith("application/json");
        return !isMetadata ? null : isJson ? HttpMessage.response(200, "application/json", model.metadataJson())
                : HttpMessage.response(200, "application/xml", model.metadataXml());
    }
}
