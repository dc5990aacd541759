#pragma once

namespace Bergamot {

class HttpClient;
class HttpEngine;
class HttpResponder;
class HttpServer;
struct HttpCall;
struct HttpReply;
struct HttpRequest;
struct HttpResponse;

}
