#include "handover.h"

#include <boost/json.hpp>

#include "request_key.h"

namespace siskinwharf::entry {

peer::request_record to_record(const live_request& request, monotonic_time now)
{
    const auto& spec = request.spec();
    boost::json::object body;
    body["model"] = spec.model.value();
    body["version"] = spec.version;
    body["prompt"] = spec.prompt;
    body["max_tokens"] = spec.max_tokens;
    peer::request_record record;
    record.request = request_id(request_key(spec.account, spec.id));
    record.account = spec.account;
    record.body = boost::json::serialize(body);
    record.target = spec.model.value();
    record.produced_tokens = request.tokens().size();
    record.produced =
        boost::json::serialize(boost::json::array(request.tokens().begin(), request.tokens().end()));
    record.endpoint = request.endpoint() ? request.endpoint()->id : endpoint_id{};
    record.attempt = request.attempt();
    record.deadline_remaining = std::chrono::duration_cast<milliseconds>(spec.deadline - now);
    record.streaming = spec.streaming;
    return record;
}

std::shared_ptr<live_request> from_record(const boost::asio::any_io_executor& executor,
                                          const peer::request_record& record, monotonic_time now)
{
    try {
        const auto prefix = record.account.value() + ":";
        if (!record.request.value().starts_with(prefix))
            return nullptr;
        const auto body = boost::json::parse(record.body);
        request_spec spec;
        spec.id = request_id(record.request.value().substr(prefix.size()));
        spec.account = record.account;
        spec.model = model_id(std::string(body.at("model").as_string()));
        spec.version = std::string(body.at("version").as_string());
        spec.prompt = std::string(body.at("prompt").as_string());
        spec.max_tokens = body.at("max_tokens").to_number<std::uint32_t>();
        spec.streaming = record.streaming;
        spec.received = now;
        spec.deadline = now + record.deadline_remaining;
        const auto produced = boost::json::parse(record.produced);
        std::vector<std::string> tokens;
        for (const auto& token : produced.as_array())
            tokens.emplace_back(token.as_string());
        auto request = std::make_shared<live_request>(executor, std::move(spec));
        request->restore(std::move(tokens), record.attempt, record.endpoint);
        return request;
    } catch (const std::exception&) {
        // boost::json reports a record of another form in several exception types.
        return nullptr;
    }
}

} // namespace siskinwharf::entry
