// The first server sends an extra answer, which belongs to no request, where the next answer is
// expected. Its id tells it apart.
// See claim.txt beside run.sh.
#include "small.hh"

using namespace review;

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    SmallDeployment deployment(argv[1], argv[2]);
    // The answers of engines that PROTOCOL.md names, in turn.
    const std::vector<std::string> answers { "200 OK\r\nX-Pistachioloom-Engine-Seal: s", "500 Internal Server Error\r\nX-Pistachioloom-Engine-Seal: s", "503 Service Unavailable\r\nX-Pistachioloom-Not-Executed: 1", "429 Too Many Requests\r\nX-Pistachioloom-Not-Executed: 1", "421 Misdirected Request\r\nX-Pistachioloom-Not-Executed: 1" };
    std::atomic<unsigned> extra { 0 };
    deployment.servers_[0].extra_ = [&](int fd, const std::string& before) {
        if (before.empty() || !deployment.isFaultDue())
            return;
        unsigned number = extra++;
        const std::string& answer = answers[number % answers.size()];
        deployment.record_.line("server i-1 sends an extra answer %.3s with the id extra-%u", answer.c_str(), number);
        sendAll(fd, "HTTP/1.1 " + answer + "\r\nX-Pistachioloom-Attempt-Id: extra-" + std::to_string(number) + "\r\nContent-Length: 0\r\n\r\n");
    };
    if (!deployment.start())
        _exit(2);
    deployment.run();

    int served = 0;
    int refused = 0;
    for (const Outcome& outcome : deployment.outcomes_) {
        served += outcome.status_ == 200;
        bool isPromise = outcome.status_ == 429 || outcome.status_ == 503 || outcome.status_ == 408 || outcome.status_ == 421;
        refused += isPromise && deployment.runs_.contains(outcome.id_);
    }
    Record& record = deployment.record_;
    record.line("requests %zu, served %d, extra answers %u", deployment.outcomes_.size(), served, extra.load());
    record.line("REFUSED: %d requests were answered 429, 503, 408 or 421 and have run: %s", refused, refused ? "BROKEN" : "held");
    _exit(refused ? 1 : 0);
}
