// HTTP server shared by the stand-in programs: single-threaded, with asynchronous responses and dropped connections.

#ifndef MAGNOLIAARCH_STANDIN_HTTP_P_H_
#define MAGNOLIAARCH_STANDIN_HTTP_P_H_

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <asio.hpp>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

namespace magnoliaarch::standin {

using Json = nlohmann::json;
using RequestHandle = restinio::request_handle_t;
using ServerTraits = restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;
using Server = restinio::http_server_t<ServerTraits>;

// Starts a server on the io_context. Prints "listening IP:PORT" once it accepts connections; exits the process if it
// cannot listen.
inline std::unique_ptr<Server> StartServer(asio::io_context& io,
                                           const std::string& ip,
                                           std::uint16_t port,
                                           std::function<void(const RequestHandle&)> handler) {
  // Effectively no timeout, so that frozen requests and idle watches stay open.
  constexpr auto kNoTimeout = std::chrono::hours(24);
  auto bound_port = std::make_shared<std::uint16_t>(port);
  auto server = std::make_unique<Server>(restinio::external_io_context(io), [&](auto& settings) {
    settings.address(ip)
        .port(port)
        .handle_request_timeout(kNoTimeout)
        .read_next_http_message_timelimit(kNoTimeout)
        .concurrent_accepts_count(4)
        .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .acceptor_post_bind_hook(
            [bound_port](asio::ip::tcp::acceptor& acceptor) { *bound_port = acceptor.local_endpoint().port(); })
        .request_handler([handler = std::move(handler)](RequestHandle request) {
          handler(request);
          return restinio::request_accepted();
        });
  });
  server->open_async(
      [ip, bound_port] {
        std::printf("listening %s:%u\n", ip.c_str(), static_cast<unsigned>(*bound_port));
        std::fflush(stdout);
      },
      [ip](std::exception_ptr error) {
        try {
          std::rethrow_exception(std::move(error));
        } catch (const std::exception& e) {
          std::fprintf(stderr, "cannot listen on %s: %s\n", ip.c_str(), e.what());
        }
        std::exit(1);
      });
  return server;
}

// Calls the function after the delay; immediately if it is not positive.
inline void RunAfter(asio::io_context& io, std::chrono::milliseconds delay, std::function<void()> function) {
  if (delay.count() <= 0) {
    function();
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io, delay);
  timer->async_wait([timer, function = std::move(function)](const asio::error_code& error) {
    if (!error) {
      function();
    }
  });
}

// Closes the caller's connection without a response.
inline void DropConnection(const RequestHandle& request) {
  const auto connection = std::move(restinio::impl::access_req_connection(*request));
  if (connection) {
    dynamic_cast<restinio::impl::connection_t<ServerTraits>&>(*connection).move_upgrade_internals();
  }
}

// `extra_header`: name and value; none if the name is empty.
inline void SendJson(const RequestHandle& request,
                     int status,
                     const Json& body,
                     const std::pair<std::string, std::string>& extra_header = {}) {
  auto response = request->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t(static_cast<std::uint16_t>(status)), status < 400 ? "OK" : "Refused"});
  response.append_header("Content-Type", "application/json");
  if (!extra_header.first.empty()) {
    response.append_header(extra_header.first, extra_header.second);
  }
  response.set_body(body.dump()).done();
}

}  // namespace magnoliaarch::standin

#endif  // MAGNOLIAARCH_STANDIN_HTTP_P_H_
