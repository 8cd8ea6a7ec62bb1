// Runs a stand-in program for a test and calls its control endpoints.

#ifndef MAGNOLIAARCH_TESTS_STANDIN_PROCESS_H_
#define MAGNOLIAARCH_TESTS_STANDIN_PROCESS_H_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <string>
#include <vector>

#include <curl/curl.h>

namespace magnoliaarch::tests {

struct HttpAnswer {
  long status = 0;  // 0: no response
  std::string body;
};

// Sends one HTTP request; POST if there is a body.
inline HttpAnswer SendHttpRequest(const std::string& url,
                                  const std::string& body = "",
                                  const std::vector<std::string>& headers = {}) {
  HttpAnswer answer;
  CURL* curl = curl_easy_init();
  curl_slist* list = nullptr;
  for (const std::string& header : headers) {
    list = curl_slist_append(list, header.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
  if (!body.empty()) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
  }
  curl_easy_setopt(
      curl, CURLOPT_WRITEFUNCTION, +[](char* data, std::size_t size, std::size_t count, void* user) {
        static_cast<std::string*>(user)->append(data, size * count);
        return size * count;
      });
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
  if (curl_easy_perform(curl) == CURLE_OK) {
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
  }
  curl_slist_free_all(list);
  curl_easy_cleanup(curl);
  return answer;
}

// Starts a program and waits for its line "listening IP:PORT". The destructor stops it with SIGTERM.
class StandinProcess {
 public:
  explicit StandinProcess(const std::string& name, const std::vector<std::string>& arguments = {}) {
    const std::string program = std::string(MAGNOLIAARCH_BINARY_DIR) + "/" + name;
    std::vector<std::string> command = {program};
    command.insert(command.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (std::string& argument : command) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    int out[2];
    if (pipe(out) != 0) {
      throw std::runtime_error("pipe failed");
    }
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(out[1], STDOUT_FILENO);
      close(out[0]);
      close(out[1]);
      execv(program.c_str(), argv.data());
      _exit(127);
    }
    close(out[1]);
    std::string line;
    for (char c = 0; read(out[0], &c, 1) == 1 && c != '\n';) {
      line += c;
    }
    close(out[0]);
    const std::string prefix = "listening ";
    if (!line.starts_with(prefix)) {
      Kill(SIGKILL);
      throw std::runtime_error("no listening line from " + program);
    }
    m_address = line.substr(prefix.size());
  }

  ~StandinProcess() { Kill(SIGTERM); }

  StandinProcess(const StandinProcess&) = delete;
  StandinProcess& operator=(const StandinProcess&) = delete;

  const std::string& Address() const { return m_address; }
  std::string Url(const std::string& path) const { return "http://" + m_address + path; }

  // Sends the signal and waits for the program to end. Returns the exit code, or -1 if a signal ended it.
  int Kill(int signal_number) {
    if (m_pid <= 0) {
      return -1;
    }
    kill(m_pid, signal_number);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  void InjectFault(const std::string& json) const {
    if (SendHttpRequest(Url("/-/fault"), json).status != 200) {
      throw std::runtime_error("the stand-in refused the fault " + json);
    }
  }

 private:
  pid_t m_pid = -1;
  std::string m_address;
};

}  // namespace magnoliaarch::tests

#endif  // MAGNOLIAARCH_TESTS_STANDIN_PROCESS_H_
