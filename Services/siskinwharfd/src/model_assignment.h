#pragma once

#include <map>
#include <vector>

#include "siskinwharf/cloud/instance_list.h"
#include "siskinwharf/control/order_planner.h"
#include "siskinwharf/http/message.h"
#include "siskinwharf/sheet/sheet.h"

namespace siskinwharf::entry {

/// What one endpoint is to be, and where it takes orders.
struct assigned_model {
    http::address address;
    control::endpoint_configuration wanted;
    sheet::fencing_support support = sheet::fencing_support::checked;
};

/// Assigns a model of the sheet to each model engine of a failure domain. An engine keeps its model and
/// version if the sheet has them, takes another version of its model if the sheet has only that, and
/// otherwise the model that lacks the most replicas. Engines that no model needs, and leaving ones, get
/// nothing.
[[nodiscard]] std::map<endpoint_id, assigned_model>
assign_models(const sheet::sheet& sheet, const std::vector<cloud::instance_record>& records,
              const failure_domain_id& domain);

} // namespace siskinwharf::entry
